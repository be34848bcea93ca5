package localgroup

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
)

// Each group has its own network 127.x.y, and its replicas listen on 127.x.y.1, 127.x.y.2 and so on.
// Outgoing connections to loopback addresses use the source address 127.0.0.1, so they cannot take
// the address of a replica that is down. The ports are below those that the kernel assigns to
// listeners on port 0, because such a listener may listen on all addresses.
const (
	firstPort = 20_000
	lastPort  = 29_999
	// firstThirdOctet separates the networks from those of the process tests, which have a lower
	// third octet.
	firstThirdOctet = 128
	lastThirdOctet  = 255
	lastSecondOctet = 254
	// claimHost is the host number of the listener that claims a network.
	claimHost = 254
	// maxClaimAttempts bounds the search for an unused network.
	maxClaimAttempts = 64
)

// network is the loopback network of a group. The claim is a listener that stays open as long as the
// group, so that no other group uses the network with this port, even while replicas are down.
type network struct {
	secondOctet, thirdOctet, port int
	claim                         net.Listener
}

// claimNetwork reserves a network and a port that no other group on this machine uses.
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

// release ends the claim. It may be called twice, because a group may be closed twice.
func (n *network) release() error {
	if err := n.claim.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
