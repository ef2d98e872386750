package confstore

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/replica"
)

const (
	// incarnationsFile holds which target each relay had last.
	incarnationsFile = "targets.cbor"
	// maxIncarnations bounds the file to about 1 MB, twice the targets of the target size.
	maxIncarnations = 8192
)

// incarnations remembers on disk which target each relay had last. A relay that has just started learns
// from it whether its target has started since its own predecessor ran: only then does it know that
// the target has no flows of before. The file is a hint of this controller and not replicated; a relay
// asks a majority.
type incarnations struct {
	folder string
	dirty  chan struct{}

	mu     sync.Mutex
	relays map[hop.IP]incarnation
	// awaited are the relays that were there when the controller stopped and have not been heard since.
	awaited map[hop.IP]struct{}
	loaded  bool // the file was there
}

// incarnation is what a relay has announced.
type incarnation struct {
	_       struct{} `cbor:",toarray"`
	Process uint64   // of the relay
	Target  string   // ID of the target that the relay announced last
	// Previous is the target that an earlier process of the relay announced last.
	Previous string
	// Left is set once the relay has left or its lease has ended.
	Left bool
}

// loadIncarnations reads the file. Without one nothing is known, which is safe.
func loadIncarnations(folder string, logger *log.Logger) *incarnations {
	n := &incarnations{folder: folder, dirty: make(chan struct{}, 1), relays: map[hop.IP]incarnation{}, awaited: map[hop.IP]struct{}{}}
	data, err := os.ReadFile(filepath.Join(folder, incarnationsFile))
	if err == nil {
		err = cbor.Unmarshal(data, &n.relays)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		logger.Warn().Err(err).Msg("the last targets of the relays are not known")
		n.relays = map[hop.IP]incarnation{}
	}
	n.loaded = err == nil
	for ip, is := range n.relays {
		if !is.Left {
			n.awaited[ip] = struct{}{}
		}
	}
	return n
}

// complete reports whether every relay that was there when the controller stopped has been heard since.
func (n *incarnations) complete() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loaded && len(n.awaited) == 0
}

// leave records that a relay has left or its lease has ended.
func (n *incarnations) leave(relay hop.IP) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.awaited, relay)
	if is, ok := n.relays[relay]; ok && !is.Left {
		is.Left = true
		n.set(relay, is)
	}
}

// set stores an entry and lets the file be written.
func (n *incarnations) set(relay hop.IP, is incarnation) {
	n.relays[relay] = is
	select {
	case n.dirty <- struct{}{}:
	default:
	}
}

// note records an announcement and returns the target that an earlier process of the relay announced
// last, empty if that is not known.
func (n *incarnations) note(relay hop.IP, process uint64, target string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.awaited, relay)
	was := n.relays[relay]
	is := was
	is.Left = false
	if is.Process != process {
		is.Process, is.Previous = process, is.Target
	}
	if target != "" {
		is.Target = target
	}
	if is != was {
		if len(n.relays) >= maxIncarnations {
			clear(n.relays)
		}
		n.set(relay, is)
	}
	return is.Previous
}

// save writes the file after each change.
func (n *incarnations) save(ctx context.Context, logger *log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.dirty:
		}
		n.mu.Lock()
		data, err := cbor.Marshal(n.relays)
		n.mu.Unlock()
		if err == nil {
			err = replica.WriteDurable(n.folder, incarnationsFile, data)
		}
		if err != nil {
			logger.Warn().Err(err).Msg("the last targets of the relays were not saved")
		}
	}
}
