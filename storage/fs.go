package storage

import "io"

// FS is the file system that a Store uses. Errors for missing files match fs.ErrNotExist.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(dir string) error
	// List returns the names of the files in a folder.
	List(dir string) ([]string, error)
	// ReadFile returns a file's content.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one, and opens it for writing.
	Create(name string) (File, error)
	// Append truncates an existing file to size bytes and opens it for writing at its end.
	Append(name string, size int64) (File, error)
	// Rename renames oldName to newName and replaces an existing file of that name.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir syncs a folder, which makes the creations, renames and removals in it durable.
	SyncDir(dir string) error
	// Lock locks a file exclusively until the returned io.Closer is closed. It does not wait: it returns *LockedError if
	// another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the content that was written so far durable.
	Sync() error
}
