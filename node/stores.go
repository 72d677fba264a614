package node

import (
	"fmt"
	"path/filepath"

	"github.com/pkg/errors"

	"rosemaryline.dev/raft"
	"rosemaryline.dev/replica"
	"rosemaryline.dev/storage"
)

// DataFolderError reports that the file system refused to open the data folder or to create a group in it, for example because
// the disk is full. Nothing was started, and a later call of Start may succeed.
type DataFolderError struct {
	// Step is "open" or "create group in".
	Step   string
	Folder string
	Err    error
}

func (e *DataFolderError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Folder, e.Err) }

// Unwrap returns the cause.
func (e *DataFolderError) Unwrap() error { return e.Err }

// groupStore is the opened data folder of one group.
type groupStore struct {
	store     *storage.Store
	recovered storage.Recovered
}

// groupStores are the opened data folders of a process with the control role.
type groupStores map[groupName]groupStore

// openStores opens the data folders of the groups. Without Options.DataDir there are none. It creates each group that does not
// exist if Options.Bootstrap is set. Errors: *DataFolderError, and wrapped errors of package storage.
func openStores(o *Options) (groupStores, error) {
	stores := groupStores{}
	if o.DataDir == "" {
		return stores, nil
	}
	names := []groupName{groupControl}
	if !o.NoRecords {
		names = append(names, groupRecords)
	}
	for _, name := range names {
		opened, err := openStore(o, name)
		if err != nil {
			stores.close()
			return nil, err
		}
		stores[name] = opened
	}
	return stores, nil
}

// openStore opens the data folder of one group. A creation that was interrupted, for example by a full disk, is completed also
// without Options.Bootstrap: only the process that creates the group ever begins one.
func openStore(o *Options, name groupName) (opened groupStore, err error) {
	dir := filepath.Join(o.DataDir, string(name))
	opened.store, opened.recovered, err = storage.Open(o.FS, dir)
	if err != nil {
		return opened, folderError("open", dir, err)
	}
	if opened.recovered.TornBytes > 0 {
		o.Log.Warn().Str("group", string(name)).Int64("bytes", opened.recovered.TornBytes).
			Msg("control: truncated an incomplete last write.")
	}
	if !(o.Bootstrap && opened.recovered.Empty()) && !replica.CreationInterrupted(opened.recovered) {
		return opened, nil
	}
	opened.recovered, err = replica.Initialise(opened.store, opened.recovered, []raft.ID{opened.recovered.ID}, raft.Snapshot{})
	if err != nil {
		opened.store.Close()
		return opened, folderError("create group in", dir, err)
	}
	return opened, nil
}

// folderError returns the error of a step. A folder that is damaged or locked stays so; all other errors may pass.
func folderError(step, dir string, err error) error {
	var corrupt *storage.CorruptError
	var locked *storage.LockedError
	if errors.As(err, &corrupt) || errors.As(err, &locked) {
		return errors.Wrapf(err, "%s %s", step, dir)
	}
	return &DataFolderError{Step: step, Folder: dir, Err: err}
}

// close closes the stores of a process that was not started.
func (s groupStores) close() { s.closeExcept(nil) }

// closeExcept closes the stores that no group owns.
func (s groupStores) closeExcept(groups map[groupName]*replica.Group) {
	for name, opened := range s {
		if groups[name] == nil {
			opened.store.Close()
		}
	}
}
