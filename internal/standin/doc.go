// Package standin holds the test doubles of everything around the system: callers and targets on a
// user-space TCP stack, and the network fabric between them. Product binaries do not link it.
//
// Packets travel as one IPv4 packet per UDP datagram on loopback.
package standin
