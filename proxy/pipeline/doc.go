// Package pipeline serves the requests that a client sends on an HTTP/1.1 connection before it has the response to the first
// one (pipelining). net/http serves such requests one after the other, so that each waits for all before it.
//
// net/http still parses every request and writes every response, in the order of the requests. This package reads ahead on a
// connection from the moment when a second request arrives behind one that has not ended, or a request with a body begins, until
// it is idle. It starts requests that may be repeated early, while those before them are running, and keeps their responses until
// net/http gets to them. A request that may not be repeated, or that has a body, starts when all before it have ended,
// and nothing behind it starts early. If the connection ends, requests that were started early are cancelled; their clients
// may send them again.
package pipeline
