package replica

import (
	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

const (
	identityName          = "Identity"
	identityTemporaryName = "Identity.Next"
)

// LoadIdentity returns this replica's identity, or nil on an empty disk. The
// identity is stored on the same disk as the log, because a replica that has lost its
// disk must not vote under its old identity.
func LoadIdentity(disk figbank.Disk) (*schema.ReplicaIdentity, error) {
	file, err := disk.Open(identityName)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := file.ReadAll()
	if err != nil || len(content) == 0 {
		return nil, err
	}
	identity := &schema.ReplicaIdentity{}
	if err := proto.Unmarshal(content, identity); err != nil {
		return nil, figbank.WrapError("replica", "Identity", figbank.CorruptError{Subject: "identity", Detail: err.Error()})
	}
	return identity, nil
}

// SaveIdentity writes an identity durably and atomically.
func SaveIdentity(disk figbank.Disk, identity *schema.ReplicaIdentity) error {
	content, err := proto.Marshal(identity)
	if err != nil {
		return figbank.WrapError("replica", "Identity", err)
	}
	if err := disk.Remove(identityTemporaryName); err != nil {
		return err
	}
	file, err := disk.Open(identityTemporaryName)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return figbank.WrapError("replica", "Identity", err)
	}
	if err := file.Sync(); err != nil {
		return figbank.WrapError("replica", "Identity", err)
	}
	if err := disk.Rename(identityTemporaryName, identityName); err != nil {
		return err
	}
	return disk.SyncFolder()
}
