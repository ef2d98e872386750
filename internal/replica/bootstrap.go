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

// clusterName is stored in the write-ahead log, so that the files of another program are not opened.
const clusterName = "greengagelock"

// bootstrapFile is the file in the data folder that a controller writes at its first start.
const bootstrapFile = "member.json"

// bootstrap is the content of bootstrapFile. It preserves the initial members of the log, because the
// settings may list other members later.
type bootstrap struct {
	// Folder is a random identifier of the data folder. Other members reject a controller that returns
	// with a different one, because it has lost its votes.
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

// loadBootstrap reads bootstrapFile, or creates it at the first start.
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

// WriteDurable writes a file in the data folder atomically and syncs it: after a crash the file has
// either its previous or its new content, and the new content is durable when WriteDurable returns.
func WriteDurable(folder, name string, data []byte) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return result.New(result.StorageFailed, "create the data folder: %v", err)
	}
	tempFile := filepath.Join(folder, name+".tmp")
	if err := writeAndSync(tempFile, data); err != nil {
		return result.New(result.StorageFailed, "write %s: %v", name, err)
	}
	if err := os.Rename(tempFile, filepath.Join(folder, name)); err != nil {
		return result.New(result.StorageFailed, "rename %s: %v", name, err)
	}
	return syncFolder(folder)
}

func writeAndSync(name string, data []byte) error {
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

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return result.New(result.StorageFailed, "open the data folder: %v", err)
	}
	if err := errors.CombineErrors(d.Sync(), d.Close()); err != nil {
		return result.New(result.StorageFailed, "sync the data folder: %v", err)
	}
	return nil
}

// InitialMembers returns the initial members of the log in ascending order. It returns none for a
// controller that is not one of them and joins an existing log.
func InitialMembers(self string, members map[string]string) []string {
	if _, ok := members[self]; !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(members))
}
