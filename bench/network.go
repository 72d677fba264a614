package main

import (
	"fmt"
	"net"
	"time"
)

// Addresses tell the failure domain: 127.0.<domain+1>.<host>. Callers dial from outside all of them.

// listenAddress returns a free loopback address in a failure domain.
func listenAddress(domain, host int) string { return fmt.Sprintf("127.0.%d.%d:0", domain+1, host+1) }

// domainOf returns the failure domain of an address.
func domainOf(address string) int {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return -1
	}
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return -1
	}
	return int(ip[2]) - 1
}

// peerDialer dials from a failure domain.
func (u *user) peerDialer(domain int) dialer {
	return dialer{delay: func(address string) time.Duration {
		if domainOf(address) == domain {
			return 0
		}
		return u.domainDelay
	}}
}

// callerDialer dials from a caller.
func (u *user) callerDialer() dialer {
	return dialer{delay: func(string) time.Duration { return u.clientDelay }}
}
