package main

import (
	"fmt"
	"net"
	"time"
)

// The address of a process contains its failure domain: 127.0.<domain+1>.<host+1>. Callers are in no failure domain.

// listenAddress returns a loopback address in a failure domain, with port 0, for which the system chooses a free port.
func listenAddress(domain, host int) string { return fmt.Sprintf("127.0.%d.%d:0", domain+1, host+1) }

// domainOf returns the index of an address's failure domain, or -1 if the address is not of the form host:port with an IPv4
// host.
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

// peerDialer returns the dialer of a process in a failure domain. Connections to other failure domains have a delay.
func (u *user) peerDialer(domain int) dialer {
	return dialer{delay: func(address string) time.Duration {
		if domainOf(address) == domain {
			return 0
		}
		return u.domainDelay
	}}
}

// callerDialer returns the dialer of a caller. All its connections have the same delay.
func (u *user) callerDialer() dialer {
	return dialer{delay: func(string) time.Duration { return u.clientDelay }}
}
