// Command harness-2 runs the scripted cases of the second review. Each case starts the project's own daemon as separate
// processes on loopback addresses, with stand-ins for the platform, its targets and its clients, brings about one disruption
// and checks one rule of the users' pages.
//
//	harness-2 CASE RECORD
//
// With TROUBLE=0 in the environment the disruption is left out. Exit status: 0 the rule held, 1 it was broken, 2 the case
// could not run.
package main
