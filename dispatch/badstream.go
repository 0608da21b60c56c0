package dispatch

import (
	"errors"
	"strconv"

	"figbank"
	"figbank/eventstream"

	"go.uber.org/zap"
)

// logBadStream logs and counts an attempt that has ended because of the bytes that the upstream sent.
func (r *run) logBadStream(attempt int, target *Target, err error) {
	var bad eventstream.Error
	if !errors.As(err, &bad) {
		return
	}
	r.log.Warn("bytes of an upstream are no event", zap.String("upstream", string(target.ID)), zap.Int("attempt", attempt),
		zap.String("reason", string(bad.Fault)), zap.Bool("resumed", r.resumedAfter != ""), zap.String("after", r.resumedAfter),
		zap.Bool("framed", r.framed), zap.Int("events", r.events), zap.String("lastEvent", r.lastEvent),
		zap.String("bytes", strconv.QuoteToASCII(string(bad.Quoted))), figbank.ErrorField(err))
	r.common.Scope.Tagged(map[string]string{"reason": string(bad.Fault)}).Counter("bad_streams").Inc(1)
}
