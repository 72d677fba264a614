// Package standin provides a stand-in backend server with fault injection, for development, tests and measurements.
package standin
