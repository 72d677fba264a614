// Package outlier detects backend servers with gray failures and ejects them without passing the capacity floor.
package outlier
