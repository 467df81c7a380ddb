package database

import (
	"bufio"
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

// entry is one line of a server's durable journal; exactly one field is set.
type entry struct {
	Record      *record `json:"record,omitempty"`
	Fence       *fence  `json:"fence,omitempty"`
	Promoted    *uint64 `json:"promoted,omitempty"`    // term of which this server is the primary, 0 if none
	Rewind      *uint64 `json:"rewind,omitempty"`      // LSN after which the log was truncated
	Incarnation uint64  `json:"incarnation,omitempty"` // incarnation that began with a start or a rewind
}

type fence struct {
	Term  uint64 `json:"term"`
	Owner string `json:"owner"`
}

// record is an entry of the replicated log.
type record struct {
	LSN   uint64 `json:"lsn"`
	Term  uint64 `json:"term"`
	Time  int64  `json:"time"` // UTC nanoseconds at commit on the primary
	Ops   []op   `json:"ops,omitempty"`
	Begin bool   `json:"begin,omitempty"` // first record of Term; has no operations
}

type opKind string

const (
	opSet    opKind = "set"
	opAppend opKind = "append"
	opDelete opKind = "delete"
)

// op is a change of one key.
type op struct {
	Kind  opKind `json:"op"`
	Key   string `json:"k"`
	Value string `json:"v,omitempty"`
}

// storage keeps a server's journal. It outlives the server.
type storage interface {
	append(e entry) error
	load() ([]entry, error)
	close()
}

// memoryStorage keeps the journal of an in-process server across Kill and Restart.
type memoryStorage struct {
	mu      sync.Mutex
	entries []entry
}

func (m *memoryStorage) append(e entry) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, e)
	return nil
}

func (m *memoryStorage) load() ([]entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entries, nil
}

func (m *memoryStorage) close() {}

const journalName = "journal.jsonl"

// fileStorage keeps the journal in a file of JSON lines. Each entry is written by one write call, so it
// survives if the process is killed. There is no fsync, because machine failures are not simulated.
type fileStorage struct {
	file     *os.File
	writeErr error // error of an earlier write, which may have left an incomplete line
}

func openFileStorage(dir string) (*fileStorage, error) {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "create the data directory; check its parent's permissions")
	}
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, errors.Wrap(err, "open the journal; check the data directory's permissions")
	}
	return &fileStorage{file: f}, nil
}

func (s *fileStorage) append(e entry) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode a journal entry")
	}
	_, err = s.file.Write(append(line, '\n'))
	s.writeErr = errors.Wrap(err, "write the journal; check the space in the data directory and restart the server")
	return s.writeErr
}

// load reads the journal and truncates an incomplete last line, whose entry was never acknowledged.
func (s *fileStorage) load() ([]entry, error) {
	var list []entry
	var size int64
	in := bufio.NewReader(s.file)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		var e entry
		if err := json.Unmarshal(bytes.TrimSpace(line), &e); err != nil {
			return nil, errors.Wrapf(err, "journal entry %d is damaged; restore the data directory", len(list)+1)
		}
		list = append(list, e)
		size += int64(len(line))
	}
	if err := s.file.Truncate(size); err != nil {
		return nil, errors.Wrap(err, "truncate the journal's incomplete last line")
	}
	_, err := s.file.Seek(size, 0)
	return list, errors.Wrap(err, "seek to the journal's end")
}

func (s *fileStorage) close() { _ = s.file.Close() }
