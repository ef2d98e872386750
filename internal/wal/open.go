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

// Names and suffixes of files in the data folder.
const (
	lockName       = "lock"
	identityName   = "identity"
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
)

// segmentName returns the name of the segment that starts with a frame sequence number. Names sort in the
// order of the log.
func segmentName(first uint64) string { return fmt.Sprintf("%016x%s", first, segmentSuffix) }

// snapshotName returns the name of a snapshot file. Names sort from the oldest snapshot to the newest.
func snapshotName(m consensus.SnapshotMeta) string {
	return fmt.Sprintf("%016x-%016x%s", m.Index, m.Term, snapshotSuffix)
}

// contents is the result of reading the data folder.
type contents struct {
	restored     consensus.Restored
	needsBase    bool
	segments     []segment
	hardState    consensus.HardState
	lastSequence uint64
	// The last frame and the end of the intact part of the last segment.
	lastFrame       []byte
	lastFrameOffset int64
	intactSize      int64
	isTorn          bool
	emptySegment    string // name of a last segment without an intact frame, or empty
}

// open initializes the data folder if it has no identity, reads it, and repairs the end of the log.
func (l *Log) open() error {
	names, err := l.fs.List()
	if err != nil {
		return storageError(err, "list the data folder")
	}
	if !slices.Contains(names, identityName) {
		if err := l.initialize(names); err != nil {
			return storageError(err, "initialize the data folder")
		}
	}
	if err := l.checkIdentity(); err != nil {
		return err
	}
	c, err := l.readFolder()
	if err != nil {
		return err
	}
	if err := l.repair(c, names); err != nil {
		return storageError(err, "repair the end of the log")
	}
	l.restored = &c.restored
	return nil
}

// initialize writes the first segment and then the identity. Files of an interrupted attempt are
// overwritten: a folder without an identity was not used by a member yet.
func (l *Log) initialize(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) || strings.HasSuffix(name, segmentSuffix) && name != segmentName(1) {
			return result.New(result.StorageCorrupt, "the data folder holds %s but no identity", name)
		}
	}
	if err := l.addSegment(1); err != nil {
		return err
	}
	if err := l.active.Close(); err != nil {
		return err
	}
	l.active, l.segments, l.lastSequence = nil, nil, 0
	content, err := json.Marshal(l.config.Identity)
	if err != nil {
		return err
	}
	return l.replaceFile(identityName, sealFrame(append(newFrame(len(content)), content...), 1))
}

// checkIdentity refuses a data folder of another member or cluster.
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

// readFolder reads the newest snapshot and all segments. It changes nothing in the folder.
func (l *Log) readFolder() (*contents, error) {
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
	c.hardState = r.hardState
	if c.restored, c.needsBase, err = r.withSnapshot(snapshot); err != nil {
		return nil, result.New(result.StorageCorrupt, "%s at offset 0: %v", c.segments[0].name, err)
	}
	return c, nil
}

// readSnapshot reads the newest snapshot. names must be sorted.
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

// readSegment reads the frames of a segment into c and r. Only the last segment may end with an
// incomplete frame.
func (l *Log) readSegment(c *contents, r *replay, name string, isLast bool) error {
	content, err := l.readFile(name)
	if err != nil {
		return storageError(err, "read a segment")
	}
	offset, segmentsBefore := 0, len(c.segments)
	r.highestIndex = 0
	for offset < len(content) {
		f, ok := parseFrame(content[offset:])
		if !ok {
			break
		}
		expected := c.lastSequence + 1
		if segmentsBefore == 0 && offset == 0 {
			expected = f.sequence // older segments were removed
		}
		if f.sequence != expected || (offset == 0 && name != segmentName(f.sequence)) {
			return result.New(result.StorageCorrupt, "%s holds frame %d at offset %d, want frame %d", name, f.sequence, offset, expected)
		}
		if err := readRecords(f.payload, r); err != nil {
			return result.New(result.StorageCorrupt, "%s is damaged at offset %d: %v", name, offset, err)
		}
		c.lastSequence = f.sequence
		c.lastFrame, c.lastFrameOffset = content[offset:offset+f.size], int64(offset)
		offset += f.size
	}
	if offset < len(content) && (!isLast || containsLaterFrame(content[offset:], c.lastSequence)) {
		return result.New(result.StorageCorrupt, "%s is damaged at offset %d", name, offset)
	}
	if offset == 0 {
		if !isLast {
			return result.New(result.StorageCorrupt, "%s is empty", name)
		}
		c.emptySegment = name
		return nil
	}
	c.segments = append(c.segments, segment{name: name, highestIndex: r.highestIndex})
	c.intactSize, c.isTorn = int64(offset), offset < len(content)
	return nil
}

// repair removes temporary files and an empty last segment, truncates an incomplete last frame, makes the
// rest durable, and opens the last segment for writing.
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
	l.active, l.segments, l.activeSize = f, c.segments, c.intactSize
	l.lastSequence, l.hardState = c.lastSequence, c.hardState
	if c.needsBase {
		l.pendingBase = &consensus.Position{Index: c.restored.Snapshot.Index, Term: c.restored.Snapshot.Term}
	}
	if c.isTorn {
		if err := f.Truncate(c.intactSize); err != nil {
			return err
		}
	}
	// The last frame may come from a write whose sync failed. It is then in the page cache but not on
	// disk, and a sync alone would not write it. All earlier frames were synced.
	if _, err := f.WriteAt(c.lastFrame, c.lastFrameOffset); err != nil {
		return err
	}
	if err := l.sync(f); err != nil {
		return err
	}
	return l.fs.SyncDir()
}

// readFile returns the content of a file. A missing file is reported as damage, because the caller found it
// in the list of files.
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
