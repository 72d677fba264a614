// Package control serves operators and distributes fleet state to proxies.
package control
