package replica

import (
	"figbank"
	"figbank/schema"

	"google.golang.org/protobuf/proto"
)

const (
	identityName     = "Identity"
	identityNextName = "Identity.Next"
)

// LoadIdentity returns who this replica is, or nil on an empty disk. A replica
// that has lost its disk must not vote as its old self, so the identity lives
// and dies with the disk.
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
		return nil, figbank.Fail("replica", "Identity", figbank.CorruptError{Subject: "identity", Detail: err.Error()})
	}
	return identity, nil
}

// SaveIdentity makes an identity durable, whole or not at all.
func SaveIdentity(disk figbank.Disk, identity *schema.ReplicaIdentity) error {
	content, err := proto.Marshal(identity)
	if err != nil {
		return figbank.Fail("replica", "Identity", err)
	}
	if err := disk.Remove(identityNextName); err != nil {
		return err
	}
	file, err := disk.Open(identityNextName)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(content); err != nil {
		return figbank.Fail("replica", "Identity", err)
	}
	if err := file.Sync(); err != nil {
		return figbank.Fail("replica", "Identity", err)
	}
	if err := disk.Rename(identityNextName, identityName); err != nil {
		return err
	}
	return disk.SyncFolder()
}
