package sockets

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// This file bounds how many clients' connections are open.

// clientPlaces is how many connections of clients, of so many, there are places for: as many less as the process may
// hold fewer descriptors than it should.
func clientPlaces(clients, descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur >= uint64(descriptors) {
		return clients // a limit that cannot be asked for shows when it is met
	}
	return max(clients*int(limit.Cur)/descriptors, 1)
}

// acceptLimiter lets only so many connections in; the rest wait in the kernel, where they are not lost.
type acceptLimiter struct {
	net.Listener
	places  chan struct{}
	waiting atomic.Bool // one more waits for a place, perhaps
}

// listen opens the address; the gate is its listener from then on.
func (g *acceptLimiter) listen(network, address string) (net.Listener, error) {
	inner, err := net.Listen(network, address)
	g.Listener = inner
	return g, err
}

// Accept lets the next connection in once there is a place for it.
func (g *acceptLimiter) Accept() (net.Conn, error) {
	g.waiting.Store(true)
	g.places <- struct{}{}
	g.waiting.Store(false)
	c, err := g.Listener.Accept()
	if err == nil {
		var taken *nbio.Conn // nbio would keep the place of one that it cannot take over for want of a descriptor
		taken, err = nbio.NBConn(c)
		if err == nil {
			return taken, nil
		}
		_ = c.Close()
	}
	g.release()
	return nil, err
}

func (g *acceptLimiter) release() { <-g.places }

// HasBacklog is an effect. The listener stays open until the process ends: on the fleet's bench the goroutine that
// closed it stood still for a second and more, and with it the reducer.
func (s *Sockets) HasBacklog() bool { return s.accepting.waiting.Load() }
