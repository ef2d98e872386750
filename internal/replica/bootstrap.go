package replica

import (
	"crypto/rand"
	"encoding/json"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
)

// clusterName keeps data folders of other programs from being opened.
const clusterName = "greengagelock"

// bootstrapFile is the name of the file that a controller writes at its first start.
const bootstrapFile = "member.json"

// bootstrap is what a member keeps from its first start: the settings may list other members
// later, but the log begins with these.
type bootstrap struct {
	// Folder is a random name for the data folder. Other members refuse a controller that comes
	// back with another folder, because it has forgotten its votes.
	Folder  string   `json:"folder"`
	Members []string `json:"members"`
}

func (b bootstrap) memberIDs() []consensus.MemberID {
	var ids []consensus.MemberID
	for _, name := range b.Members {
		ids = append(ids, MemberID(name))
	}
	return ids
}

// loadBootstrap reads the file, or writes it at the first start.
func loadBootstrap(folder string, members []string) (bootstrap, error) {
	file := filepath.Join(folder, bootstrapFile)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		b := bootstrap{Folder: rand.Text(), Members: members}
		return b, b.save(folder)
	}
	if err != nil {
		return bootstrap{}, result.New(result.StorageFailed, "read %s: %v", bootstrapFile, err)
	}
	var b bootstrap
	if err := json.Unmarshal(data, &b); err != nil || b.Folder == "" {
		return bootstrap{}, result.New(result.StorageCorrupt, "%s is damaged", file)
	}
	return b, nil
}

func (b bootstrap) save(folder string) error {
	data, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode the member file")
	}
	return WriteDurable(folder, bootstrapFile, data)
}

// WriteDurable writes a file of the data folder so that it is either complete or missing after a
// crash, and durable when the call returns.
func WriteDurable(folder, name string, data []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return result.New(result.StorageFailed, "create the data folder: %v", err)
	}
	temporary := filepath.Join(folder, name+".tmp")
	if err := writeSynced(temporary, data); err != nil {
		return result.New(result.StorageFailed, "write %s: %v", name, err)
	}
	if err := os.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return result.New(result.StorageFailed, "rename %s: %v", name, err)
	}
	return syncFolder(folder)
}

func writeSynced(name string, data []byte) error {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.CombineErrors(err, f.Close())
}

func syncFolder(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return result.New(result.StorageFailed, "open the data folder: %v", err)
	}
	if err := errors.CombineErrors(d.Sync(), d.Close()); err != nil {
		return result.New(result.StorageFailed, "sync the data folder: %v", err)
	}
	return nil
}

// FirstMembers returns the members that form the log at its first start, in order. A controller
// that is not among them joins an existing log.
func FirstMembers(self string, members map[string]string) []string {
	if _, ok := members[self]; !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(members))
}
