package standin

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// walFile stores a log, its history and the role in a folder. Writes are not synced to
// disk. Methods on a nil walFile do nothing.
type walFile struct {
	dir string
	log *os.File
	enc *cbor.Encoder
}

const (
	logName     = "log.cbor"
	historyName = "history.json"
	roleName    = "role"
)

// cborDecoding decodes all integers as int64, the type that the SQL engine returns.
var cborDecoding = newCBORDecoding()

func newCBORDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{IntDec: cbor.IntDecConvertSignedOrFail}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// openWAL reads the log in dir, or creates it. With an empty dir the log is kept in
// memory only.
func openWAL(dir string) (*wal, error) {
	w := newWAL()
	if dir == "" {
		return w, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	f := &walFile{dir: dir}
	if err := f.load(w); err != nil {
		return nil, err
	}
	if err := f.rewrite(w.records); err != nil {
		return nil, err
	}
	w.file = f
	return w, f.saveHistory(w.history)
}

func (f *walFile) load(w *wal) error {
	data, err := os.ReadFile(filepath.Join(f.dir, historyName))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read history")
	}
	if err := json.Unmarshal(data, &w.history); err != nil {
		return errors.Wrap(err, "decode history")
	}
	file, err := os.Open(filepath.Join(f.dir, logName))
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	defer file.Close()
	dec := cborDecoding.NewDecoder(file)
	for {
		var r record
		err := dec.Decode(&r)
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return nil // the commit of a truncated record was never acknowledged
		}
		if err != nil {
			return errors.Wrap(err, "decode log")
		}
		w.records = append(w.records, r)
	}
}

func (f *walFile) append(r record) error {
	if f == nil {
		return nil
	}
	return errors.Wrap(f.enc.Encode(r), "append to log")
}

// rewrite replaces the log file by one with the given records and keeps it open for
// appending.
func (f *walFile) rewrite(records []record) error {
	if f == nil {
		return nil
	}
	path := filepath.Join(f.dir, logName)
	file, err := os.Create(path + ".new")
	if err != nil {
		return errors.Wrap(err, "create log")
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log, f.enc = file, cbor.NewEncoder(file)
	for _, r := range records {
		if err := f.append(r); err != nil {
			return err
		}
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace log")
}

func (f *walFile) saveHistory(history []timeline) error {
	if f == nil {
		return nil
	}
	data, err := json.Marshal(history)
	if err != nil {
		return errors.Wrap(err, "encode history")
	}
	return f.replaceFile(historyName, data)
}

func (f *walFile) saveRole(role Role) error {
	if f == nil {
		return nil
	}
	return f.replaceFile(roleName, []byte(role))
}

// loadRole returns the last saved role, or fallback if there is none.
func (f *walFile) loadRole(fallback Role) Role {
	if f == nil {
		return fallback
	}
	data, err := os.ReadFile(filepath.Join(f.dir, roleName))
	if err != nil {
		return fallback
	}
	return Role(data)
}

// replaceFile replaces a file in the folder by way of a rename.
func (f *walFile) replaceFile(name string, data []byte) error {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return errors.Wrap(err, "write "+name)
	}
	return errors.Wrap(os.Rename(path+".new", path), "replace "+name)
}

func (f *walFile) close() {
	if f != nil && f.log != nil {
		f.log.Close()
	}
}
