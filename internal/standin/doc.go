// Package standin simulates what surrounds the load balancer in tests and in the demonstration:
// callers and targets on a user-space TCP stack, and the network fabric that connects them to the
// balancers. Production binaries do not link it.
//
// Each UDP datagram on the loopback interface carries one IPv4 packet.
package standin
