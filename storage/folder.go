package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	lockName       = "lock"
	idName         = "id"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	indexDigits    = 20
)

// folder is a data folder in a file system.
type folder struct {
	fs  FS
	dir string
}

func (d folder) path(name string) string { return filepath.Join(d.dir, name) }

func logName(first uint64) string { return fmt.Sprintf("%s%0*d", logPrefix, indexDigits, first) }

func snapshotName(index uint64) string {
	return fmt.Sprintf("%s%0*d", snapshotPrefix, indexDigits, index)
}

// listing is the content of a data folder. logs holds the first index of each log file and snapshots the index of each
// snapshot file, both in ascending order.
type listing struct {
	hasID     bool
	logs      []uint64
	snapshots []uint64
	tempFiles []string
}

func (d folder) list() (listing, error) {
	var l listing
	names, err := d.fs.List(d.dir)
	if err != nil {
		return l, errors.Wrapf(err, "list %s", d.dir)
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			l.tempFiles = append(l.tempFiles, name)
			continue
		}
		if name == idName {
			l.hasID = true
		}
		if index, ok := parseIndex(name, logPrefix); ok {
			l.logs = append(l.logs, index)
		}
		if index, ok := parseIndex(name, snapshotPrefix); ok {
			l.snapshots = append(l.snapshots, index)
		}
	}
	slices.Sort(l.logs)
	slices.Sort(l.snapshots)
	return l, nil
}

func parseIndex(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != indexDigits {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil
}

// writeTemp writes and syncs a file under a temporary name, and returns it open for further writes.
func (d folder) writeTemp(temp string, data []byte) (File, error) {
	file, err := d.fs.Create(d.path(temp))
	if err != nil {
		return nil, errors.Wrapf(err, "create %s", temp)
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return nil, errors.Wrapf(err, "write %s", temp)
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return nil, errors.Wrapf(err, "sync %s", temp)
	}
	return file, nil
}

// renameAndSync renames a synced temporary file to its final name and syncs the folder, which makes the name durable.
func (d folder) renameAndSync(temp, name string) error {
	if err := d.fs.Rename(d.path(temp), d.path(name)); err != nil {
		return errors.Wrapf(err, "rename %s", temp)
	}
	return errors.Wrapf(d.fs.SyncDir(d.dir), "sync folder %s", d.dir)
}

func (d folder) remove(names ...string) error {
	for _, name := range names {
		if err := d.fs.Remove(d.path(name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}
