package wal

import (
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Names of files in the data folder.
const (
	lockName       = "lock"
	identityName   = "identity"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
)

func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

func snapshotName(m consensus.SnapshotMeta) string {
	return fmt.Sprintf("%016x-%016x%s", m.Index, m.Term, snapshotSuffix)
}

// contents is what the data folder holds.
type contents struct {
	restored consensus.Restored
	reset    bool
	segments []segment
	hard     consensus.HardState
	sequence uint64
	// The last frame and the end of the intact part of the last segment.
	lastFrame       []byte
	lastFrameOffset int64
	end             int64
	torn            bool
	emptySegment    string // a last segment without an intact frame
}

func (l *Log) open() error {
	names, err := l.fs.List()
	if err != nil {
		return storageError(err, "list the data folder")
	}
	if !slices.Contains(names, identityName) {
		if err := l.prepare(names); err != nil {
			return storageError(err, "prepare the data folder")
		}
	}
	if err := l.checkIdentity(); err != nil {
		return err
	}
	c, err := l.read()
	if err != nil {
		return err
	}
	if err := l.repair(c, names); err != nil {
		return storageError(err, "repair the end of the log")
	}
	l.restored = &c.restored
	return nil
}

// prepare writes the first segment and then the identity. What an interrupted attempt left is
// overwritten; without the identity no member has used the folder.
func (l *Log) prepare(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) || strings.HasSuffix(name, segmentSuffix) && name != segmentName(1) {
			return result.New(result.StorageCorrupt, "the data folder holds %s and no identity", name)
		}
	}
	if err := l.addSegment(1); err != nil {
		return err
	}
	if err := l.active.Close(); err != nil {
		return err
	}
	l.active, l.segments, l.sequence = nil, nil, 0
	content, err := json.Marshal(l.config.Identity)
	if err != nil {
		return err
	}
	return l.writeFile(identityName, sealFrame(append(newFrame(len(content)), content...), 1))
}

func (l *Log) checkIdentity() error {
	content, err := l.readFile(identityName)
	if err != nil {
		return storageError(err, "read the identity")
	}
	var stored Identity
	f, ok := parseFrame(content)
	if !ok || json.Unmarshal(f.payload, &stored) != nil {
		return result.New(result.StorageCorrupt, "%s is damaged at offset 0", identityName)
	}
	if stored != l.config.Identity {
		return result.New(result.SettingsInvalid, "the data folder belongs to member %d of %q, not to member %d of %q",
			stored.Member, stored.Cluster, l.config.Identity.Member, l.config.Identity.Cluster)
	}
	return nil
}

// read reads snapshots and segments and changes nothing.
func (l *Log) read() (*contents, error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, storageError(err, "list the data folder")
	}
	slices.Sort(names)
	snapshot, err := l.readSnapshot(names)
	if err != nil {
		return nil, err
	}
	c := &contents{}
	r := &replay{}
	var segments []string
	for _, name := range names {
		if strings.HasSuffix(name, segmentSuffix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := l.readSegment(c, r, name, i == len(segments)-1); err != nil {
			return nil, err
		}
	}
	if len(c.segments) == 0 {
		return nil, result.New(result.StorageCorrupt, "the data folder holds no intact segment")
	}
	c.hard = r.hard
	if c.restored, c.reset, err = r.restored(snapshot); err != nil {
		return nil, result.New(result.StorageCorrupt, "%s at offset 0: %v", c.segments[0].name, err)
	}
	return c, nil
}

// readSnapshot reads the newest snapshot; names are sorted.
func (l *Log) readSnapshot(names []string) (consensus.Snapshot, error) {
	newest := ""
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) {
			newest = name
		}
	}
	if newest == "" {
		return consensus.Snapshot{}, nil
	}
	content, err := l.readFile(newest)
	if err != nil {
		return consensus.Snapshot{}, storageError(err, "read a snapshot")
	}
	s, ok := decodeSnapshot(content)
	if !ok || snapshotName(s.SnapshotMeta) != newest {
		return s, result.New(result.StorageCorrupt, "%s is damaged at offset 0", newest)
	}
	return s, nil
}

func (l *Log) readSegment(c *contents, r *replay, name string, last bool) error {
	content, err := l.readFile(name)
	if err != nil {
		return storageError(err, "read a segment")
	}
	offset, r0 := 0, len(c.segments)
	r.top = 0
	for offset < len(content) {
		f, ok := parseFrame(content[offset:])
		if !ok {
			break
		}
		expected := c.sequence + 1
		if r0 == 0 && offset == 0 {
			expected = f.sequence // older segments were removed
		}
		if f.sequence != expected || (offset == 0 && name != segmentName(f.sequence)) {
			return result.New(result.StorageCorrupt, "%s holds frame %d at offset %d, want frame %d", name, f.sequence, offset, expected)
		}
		if err := readRecords(f.payload, r); err != nil {
			return result.New(result.StorageCorrupt, "%s is damaged at offset %d: %v", name, offset, err)
		}
		c.sequence = f.sequence
		c.lastFrame, c.lastFrameOffset = content[offset:offset+f.size], int64(offset)
		offset += f.size
	}
	if offset < len(content) && (!last || laterFrame(content[offset:], c.sequence)) {
		return result.New(result.StorageCorrupt, "%s is damaged at offset %d", name, offset)
	}
	if offset == 0 {
		if !last {
			return result.New(result.StorageCorrupt, "%s is empty", name)
		}
		c.emptySegment = name
		return nil
	}
	c.segments = append(c.segments, segment{name: name, top: r.top})
	c.end, c.torn = int64(offset), offset < len(content)
	return nil
}

// repair cuts an incomplete end and makes the rest durable.
func (l *Log) repair(c *contents, names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) || name == c.emptySegment && name != "" {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	f, err := l.fs.Open(c.segments[len(c.segments)-1].name)
	if err != nil {
		return err
	}
	l.active, l.segments, l.size = f, c.segments, c.end
	l.sequence, l.hard = c.sequence, c.hard
	if c.reset {
		l.reset = &consensus.Position{Index: c.restored.Snapshot.Index, Term: c.restored.Snapshot.Term}
	}
	if c.torn {
		if err := f.Truncate(c.end); err != nil {
			return err
		}
	}
	// The last frame may come from a write whose sync has failed. It is then in memory and not on
	// the disk, and a sync alone would not write it. Every earlier frame was synced.
	if _, err := f.WriteAt(c.lastFrame, c.lastFrameOffset); err != nil {
		return err
	}
	if err := l.sync(f); err != nil {
		return err
	}
	return l.fs.SyncDir()
}

// readFile returns the content of a file; a missing file is damage, because it was listed.
func (l *Log) readFile(name string) ([]byte, error) {
	f, err := l.fs.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, result.New(result.StorageCorrupt, "%s is missing", name)
	}
	if err != nil {
		return nil, err
	}
	size, err := f.Size()
	if err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	content := make([]byte, size)
	if _, err := f.ReadAt(content, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return content, f.Close()
}
