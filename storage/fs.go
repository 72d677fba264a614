package storage

import "io"

// FS is the file layer below a Store. Missing files are reported by errors that match fs.ErrNotExist.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// List returns the names of the files in a folder.
	List(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// Create opens an empty file for writing and replaces a file of that name.
	Create(name string) (File, error)
	// Append opens a file for writing at its end after cutting it to size bytes.
	Append(name string, size int64) (File, error)
	// Rename replaces newName by oldName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(dir string) error
	// Lock locks a file exclusively until the result is closed. It returns *LockedError without waiting where another
	// process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the content durable.
	Sync() error
}
