// Package storage keeps a replicated log and its snapshots in files under one data folder.
package storage
