package replica

import (
	"time"

	"figbank"
	"figbank/schema"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// newFounding returns the first command of a new log, which names it. Replicas and processes of two deployments that
// learn of each other, since an address was used again or a seed is wrong, thus never mix their logs.
func newFounding(now time.Time) []byte {
	data, err := proto.Marshal(&schema.Command{
		TimeUnixNano: now.UnixNano(), Action: &schema.Command_Found{Found: &schema.Found{Log: uuid.NewString()}},
	})
	if err != nil {
		return nil
	}
	return data
}

// logName returns the name of this replica's log, or "" before it has applied the first command.
func (r *Replica) logName() string {
	if name := r.state.Fleet().GetLog(); name != "" {
		return name
	}
	return r.storedName
}

// readLogName reads the name that a replica with an identity has stored. Without it, a replica that starts would not
// know its own log until it hears what is committed.
func (r *Replica) readLogName() error {
	identity, err := LoadIdentity(r.disk)
	r.storedName = identity.GetLog()
	return err
}

// storeLogName stores the name once this replica knows it.
func (r *Replica) storeLogName() {
	name := r.logName()
	if name == r.storedName {
		return
	}
	identity, err := LoadIdentity(r.disk)
	if err == nil && identity != nil {
		identity.Log = name
		err = SaveIdentity(r.disk, identity)
	}
	if err != nil {
		r.common.Log.Warn("cannot store the name of the log, will retry", figbank.ErrorField(err))
		return
	}
	r.storedName = name
}

// isForeign reports whether a name is that of another log.
func (r *Replica) isForeign(log string) bool {
	own := r.logName()
	return own != "" && log != "" && own != log
}

// noteStranger logs the first message of each replica of another log.
func (r *Replica) noteStranger(message *schema.RaftMessage) {
	if !r.strangers[message.GetFrom()] {
		r.strangers[message.GetFrom()] = true
		r.common.Log.Warn("ignored a replica of another log", zap.String("replica", message.GetFrom()), zap.String("address", message.GetFromAddress()),
			zap.String("its", message.GetLog()), zap.String("own", r.logName()))
	}
}
