package checkpoint

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

const (
	// fileName is the file in the data folder: a checksum of 8 bytes, and the content in CBOR.
	fileName      = "flows.cbor"
	checksumBytes = 8
	// saveInterval is the time between two writes of the file while lists change.
	saveInterval = 250 * time.Millisecond
	// maxDiskShare bounds the share of time in which the file is written, so that a slow disk is left to the
	// replicated log.
	maxDiskShare = 0.05
	// maxClockSkew is how far the stored time may lie in the future before the clock counts as changed.
	maxClockSkew = 5 * time.Second
)

// content is the content of the file.
type content struct {
	_      struct{} `cbor:",toarray"`
	Saved  int64    // Unix time in ms
	Relays map[hop.IP][]list
}

// Load adds the lists of the file in a data folder. A missing file is none. A damaged file is an error that carries
// result.StorageCorrupt, and so is one of another time than the retention before wallClock: its flows have ended.
func (s *Store) Load(folder string, now time.Duration, wallClock time.Time) error {
	data, err := os.ReadFile(filepath.Join(folder, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return result.New(result.StorageFailed, "read %s: %v", fileName, err)
	}
	var c content
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return result.New(result.StorageCorrupt, "%s has a wrong checksum", fileName)
	}
	if err := cbor.Unmarshal(data[checksumBytes:], &c); err != nil {
		return result.New(result.StorageCorrupt, "decode %s: %v", fileName, err)
	}
	if age := wallClock.Sub(time.UnixMilli(c.Saved)); age > retention || age < -maxClockSkew {
		return result.New(result.StorageCorrupt, "%s was written %v ago, want at most %v", fileName, age.Round(time.Millisecond), retention)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for relay, lists := range c.Relays {
		r := &record{}
		s.relays[relay] = r
		for _, l := range lists[:min(len(lists), maxLists)] {
			l.updated = now
			l.Packed = l.Packed[:len(l.Packed)/flowBytes*flowBytes]
			r.lists = append(r.lists, l)
			s.bytes += len(l.Packed)
		}
	}
	s.dropOldest(now)
	return nil
}

// encode returns the content of the file and the number of the last change in it.
func (s *Store) encode(wallClock time.Time) (data []byte, change uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := content{Saved: wallClock.UnixMilli(), Relays: make(map[hop.IP][]list, len(s.relays))}
	for relay, r := range s.relays {
		if len(r.lists) > 0 {
			c.Relays[relay] = r.lists
		}
	}
	body, err := cbor.Marshal(c)
	if err != nil {
		return nil, 0, err
	}
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...), s.change, nil
}

// save writes the file.
func (s *Store) save(folder string) (change uint64, err error) {
	data, change, err := s.encode(time.Now())
	if err != nil {
		return 0, err
	}
	return change, replica.WriteDurable(folder, fileName, data)
}

// RunSaves writes the file while lists change, until ctx is done. now returns the time since the start of the
// controller. A disk that refuses writes costs the checkpoint only; it is tried again.
func (s *Store) RunSaves(ctx context.Context, folder string, now func() time.Duration, logger *log.Logger) {
	saved, failed := uint64(0), false
	pause := saveInterval
	for ctxtime.Sleep(ctx, pause) {
		pause = saveInterval
		s.Expire(now())
		if s.changes() == saved {
			continue
		}
		start := time.Now()
		change, err := s.save(folder)
		pause = max(pause, time.Duration(float64(time.Since(start))/maxDiskShare))
		if err == nil {
			saved = change
		} else {
			s.countSaveError()
		}
		if (err != nil) != failed {
			failed = err != nil
			logger.Warn().Bool("failed", failed).Err(err).Msg("writing the flow checkpoint")
		}
	}
}

func (s *Store) changes() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change
}

func (s *Store) countSaveError() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.SaveErrors++
}
