package confstore

import (
	"context"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
)

// The file of changes is a sequence of frames: the length of the content (4 bytes), its hash (8 bytes), and the changed
// records in CBOR. A frame that was cut off by a loss of power ends the sequence.
const frameHeaderBytes = 12

// saveRetryDelay is the time between a failed save and the next one.
const saveRetryDelay = time.Second

// load reads both files. Missing ones are no error.
func (n *incarnations) load() error {
	snapshot, err := os.ReadFile(filepath.Join(n.folder, incarnationsFile))
	switch {
	case err == nil:
		if err := cbor.Unmarshal(snapshot, &n.relays); err != nil {
			return result.New(result.StorageCorrupt, "decode %s: %v", incarnationsFile, err)
		}
		n.loaded, n.snapshotBytes = true, len(snapshot)
	case !errors.Is(err, os.ErrNotExist):
		return result.New(result.StorageFailed, "read %s: %v", incarnationsFile, err)
	}
	frames, err := os.ReadFile(filepath.Join(n.folder, incarnationChangesFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return result.New(result.StorageFailed, "read %s: %v", incarnationChangesFile, err)
	}
	for len(frames) >= frameHeaderBytes {
		size := int(binary.BigEndian.Uint32(frames))
		if size > len(frames)-frameHeaderBytes || xxhash.Sum64(frames[frameHeaderBytes:frameHeaderBytes+size]) != binary.BigEndian.Uint64(frames[4:]) {
			break
		}
		if err := cbor.Unmarshal(frames[frameHeaderBytes:frameHeaderBytes+size], &n.relays); err != nil {
			return result.New(result.StorageCorrupt, "decode %s: %v", incarnationChangesFile, err)
		}
		n.loaded = true
		frames = frames[frameHeaderBytes+size:]
	}
	return nil
}

// runSaves writes the changes until ctx is done.
func (n *incarnations) runSaves(ctx context.Context, logger *log.Logger) {
	defer n.closeChanges()
	pause := time.Duration(0)
	for ctxtime.Sleep(ctx, pause) {
		select {
		case <-ctx.Done():
			return
		case <-n.dirty:
		}
		start := time.Now()
		err := n.save()
		pause = time.Duration(float64(time.Since(start)) / maxSaveShare)
		if err != nil {
			logger.Warn().Err(err).Msg("cannot save the last targets of the relays")
			pause = max(pause, saveRetryDelay)
			n.markDirty()
		}
	}
}

// save appends the changes to the file of changes. It writes all records and empties that file instead if it has grown,
// or if this process has not written to it before, because its end may be damaged.
func (n *incarnations) save() error {
	if n.changesFile == nil || n.logBytes > max(minChangesBytes, 2*n.snapshotBytes) {
		return n.saveAll()
	}
	n.mu.Lock()
	changed := make(map[hop.IP]incarnation, len(n.unsaved))
	for ip := range n.unsaved {
		changed[ip] = n.relays[ip]
	}
	clear(n.unsaved)
	n.mu.Unlock()
	content, err := cbor.Marshal(changed)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(content)), uint32(len(content)))
	frame = append(binary.BigEndian.AppendUint64(frame, xxhash.Sum64(content)), content...)
	if _, err = n.changesFile.Write(frame); err == nil {
		err = n.changesFile.Sync()
	}
	if err != nil {
		n.closeChanges() // the next save writes all records
		return result.New(result.StorageFailed, "write %s: %v", incarnationChangesFile, err)
	}
	n.logBytes += len(frame)
	return nil
}

// saveAll writes all records and empties the file of changes. If the process ends in between, the changes are applied
// to records that include them already.
func (n *incarnations) saveAll() error {
	n.closeChanges()
	n.mu.Lock()
	data, err := cbor.Marshal(n.relays)
	clear(n.unsaved)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	if err := replica.WriteDurable(n.folder, incarnationsFile, data); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(n.folder, incarnationChangesFile), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return result.New(result.StorageFailed, "open %s: %v", incarnationChangesFile, err)
	}
	n.changesFile, n.snapshotBytes, n.logBytes = f, len(data), 0
	return nil
}

// closeChanges closes the file of changes. What was written to it has been synced.
func (n *incarnations) closeChanges() {
	if n.changesFile != nil {
		_ = n.changesFile.Close()
		n.changesFile = nil
	}
}
