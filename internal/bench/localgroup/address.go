package localgroup

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// Replicas listen on 127.x.y.1 and up, and each group has a network 127.x.y of
// its own. Outgoing connections to loopback addresses come from 127.0.0.1, so
// none of them takes the address of a replica that is down for a moment. The
// ports are below those that the kernel gives to listeners on port 0, which
// may listen on all addresses.
const (
	firstPort = 20_000
	lastPort  = 29_999
	// firstThirdOctet keeps the networks apart from those of the tests of processes,
	// whose third octet is lower.
	firstThirdOctet = 128
	lastThirdOctet  = 255
	lastSecondOctet = 254
	// claimHost is the host number of the listener that claims a network.
	claimHost = 254
	// maxClaimAttempts bounds the search for a network that nobody uses.
	maxClaimAttempts = 64
)

// network is the loopback network of a group. Its claim is a listener that
// stays open as long as the group, so no other group uses the network at this
// port, also while replicas are down.
type network struct {
	secondOctet, thirdOctet, port int
	claim                         net.Listener
}

// claimNetwork takes a network and a port that no other group on this machine uses.
func claimNetwork() (*network, error) {
	var err error
	for range maxClaimAttempts {
		n := &network{secondOctet: randomBetween(1, lastSecondOctet), thirdOctet: randomBetween(firstThirdOctet, lastThirdOctet), port: randomBetween(firstPort, lastPort)}
		n.claim, err = net.Listen("tcp", n.address(claimHost))
		if err == nil {
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, err
}

func randomBetween(first, last int) int { return first + rand.IntN(last-first+1) }

func (n *network) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.secondOctet, n.thirdOctet, host, n.port)
}

// release gives the network up. A second call does nothing, as a group may be
// closed twice.
func (n *network) release() error {
	if err := n.claim.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
