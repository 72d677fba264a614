// Package standin is a stand-in backend server with fault switches, for development, tests and measurements.
package standin
