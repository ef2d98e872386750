package controller

import (
	"context"
	"encoding/json"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// foundersFile is the file in the data folder of a first member of the log with the data folders of all first members.
	foundersFile = "founders.json"
	// memberFile is the file that package replica writes at the first start.
	memberFile = "member.json"
	// foundingRetryDelay is the time between two rounds of questions to the other first members.
	foundingRetryDelay = 50 * time.Millisecond
	// foundingCallTimeout limits one question. It is far above the time of a TLS handshake on a busy VM, because a call that
	// times out has to connect again.
	foundingCallTimeout = forwardTimeout
)

// founders makes sure that first members with empty data folders form one log only. A controller whose folder was emptied
// looks like one at its first start; a majority of such controllers would form a second, empty log, and a single one would
// vote again. So a controller with a new folder does not vote until every other first member says that its folder is new
// too, or one that has formed the log knows the folder.
type founders struct {
	name, dataDir string
	addresses     map[string]string // of the other first members

	ready  atomic.Bool
	mu     sync.Mutex
	folder string            // ID of the own data folder
	known  map[string]string // folder IDs of the first members by name; empty until the log is formed
}

// foundersContent is the content of foundersFile.
type foundersContent struct {
	Folders map[string]string `json:"folders"` // empty until the log is formed
}

// loadFounders reads foundersFile. In a new data folder of a first member it creates the file, before any other. A folder
// of an earlier build, and that of a controller that joined later, has none.
func loadFounders(cfg *Config) (*founders, error) {
	f := &founders{name: cfg.Name, dataDir: cfg.DataDir, addresses: maps.Clone(cfg.Members)}
	delete(f.addresses, cfg.Name)
	data, err := os.ReadFile(filepath.Join(cfg.DataDir, foundersFile))
	if errors.Is(err, fs.ErrNotExist) {
		if _, isFirst := cfg.Members[cfg.Name]; !isFirst || fileExists(filepath.Join(cfg.DataDir, memberFile)) {
			f.ready.Store(true)
			return f, nil
		}
		return f, f.save(nil)
	}
	var content foundersContent
	if err != nil {
		return nil, result.New(result.StorageFailed, "read %s: %v", foundersFile, err)
	}
	if err := json.Unmarshal(data, &content); err != nil {
		return nil, result.New(result.StorageCorrupt, "%s is damaged", filepath.Join(cfg.DataDir, foundersFile))
	}
	f.known = content.Folders
	f.ready.Store(len(content.Folders) > 0)
	return f, nil
}

func fileExists(name string) bool {
	_, err := os.Stat(name)
	return err == nil
}

func (f *founders) save(folders map[string]string) error {
	data, err := json.Marshal(foundersContent{Folders: folders})
	if err != nil {
		return errors.Wrap(err, "encode the list of the first members")
	}
	return replica.WriteDurable(f.dataDir, foundersFile, data)
}

// folderOf returns the folder ID of a first member, or "" if it is not known.
func (f *founders) folderOf(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[name]
}

// finish records that the log is formed by members with these folders.
func (f *founders) finish(folders map[string]string) error {
	folders[f.name] = f.folder
	if err := f.save(folders); err != nil {
		return err
	}
	f.mu.Lock()
	f.known = folders
	f.mu.Unlock()
	f.ready.Store(true)
	return nil
}

// FoundingRequest asks a first member whether the sender, which has a new data folder, may vote.
type FoundingRequest struct {
	Folder string // ID of the sender's data folder
}

// FoundingReply is the reply to a FoundingRequest. An error says that the sender may not vote.
type FoundingReply struct {
	Folder string // ID of the receiver's data folder
	// Folders are those of all first members if the receiver has formed the log and knows that of the sender; empty if the
	// receiver's folder is new too.
	Folders map[string]string
}

// Found answers a controller with a new data folder.
func (p *Peer) Found(request *FoundingRequest, reply *FoundingReply) error {
	f := p.c.founders
	reply.Folder = f.folder
	if !f.ready.Load() {
		return nil
	}
	member, _ := p.c.members.registeredMember(p.peer.Name)
	if known := p.c.members.folderOf(p.peer.Name); member.Retired || known == "" || known != request.Folder {
		return result.New(result.PeerUnknown, "controller %s has another data folder than at the start of the log, or is none of its first members", p.peer.Name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reply.Folders = maps.Clone(f.known)
	if reply.Folders == nil {
		reply.Folders = map[string]string{p.peer.Name: request.Folder}
	}
	return nil
}

// waitUntilFounded returns when this controller may vote, or ctx is done.
func (c *Controller) waitUntilFounded(ctx context.Context) error {
	refusal := ""
	for !c.founders.ready.Load() {
		folders, err := c.askFounders(ctx)
		switch {
		case folders != nil:
			return c.founders.finish(folders)
		case err != nil && err.Error() != refusal && ctx.Err() == nil:
			refusal = err.Error()
			logFoundingProblem(c.tel, c.cfg.Name, err)
		}
		if !ctxtime.Sleep(ctx, foundingRetryDelay) {
			return nil
		}
	}
	return nil
}

// logFoundingProblem logs why a controller with a new data folder does not vote. That some of the others do not run yet is
// usual at the first start of a group.
func logFoundingProblem(t telemetry.Handle, name string, err error) {
	if result.CodeOf(err) == result.PeerUnknown {
		t.Logger.Error().Str("controller", name).Err(err).
			Msg("the data folder of this controller is new, but its log exists; the controller has to join under a new name with --join")
		return
	}
	t.Logger.Info().Str("controller", name).Err(err).Msg("waiting for the other first members")
}

// askFounders asks all other first members. It returns the folders of all if this controller may vote, or else the reason.
func (c *Controller) askFounders(ctx context.Context) (folders map[string]string, err error) {
	ctx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	fresh := map[string]string{}
	var formed map[string]string
	var refused error
	var silent []string
	for name, address := range c.founders.addresses {
		group.Go(func() {
			client := c.peers.client(name, address)
			reply, err := rpc.Call[FoundingReply](ctx, client, peerServiceName+".Found", &FoundingRequest{Folder: c.founders.folder})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case result.CodeOf(err) == result.PeerUnknown && !errors.Is(err, rpc.ErrUnreachable):
				refused = err
			case err != nil:
				silent = append(silent, name)
			case len(reply.Folders) > 0:
				formed = reply.Folders
			default:
				fresh[name] = reply.Folder
			}
		})
	}
	group.Wait()
	switch {
	case formed != nil:
		return formed, nil
	case refused != nil:
		return nil, refused
	case len(silent) > 0:
		slices.Sort(silent)
		return nil, result.New(result.NoQuorum, "no answer from %s", strings.Join(silent, ", "))
	}
	return fresh, nil
}
