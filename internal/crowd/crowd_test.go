package crowd_test

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// survives sends a crowd and checks the node.
func survives(t *testing.T, send sender) {
	s := start(t)
	s.send(t, send).sending.Wait()
	s.awaitServed()
	s.check()
}

// Guards against heads that exceed the limit, or that never end, whose fields take
// the process over its memory.
func TestHeadsWithoutEnd(t *testing.T) { survives(t, sendHead) }

// Guards against empty lines before a request that occupy connections or memory
// without end.
func TestEmptyLinesWithoutEnd(t *testing.T) { survives(t, sendEmptyLines) }

// Guards against bodies of legal size that together take the process over its
// memory.
func TestWholeBodies(t *testing.T) { survives(t, sendWhole) }

// Guards against bodies that stop just short of their end and hold their memory
// and their connection.
func TestBodiesThatStop(t *testing.T) { survives(t, sendPieces) }

// Guards against bodies of unknown length, whose buffers grow while they arrive
// and which then stop.
func TestLargeChunksThatStop(t *testing.T) { survives(t, sendLargeChunks) }

// Guards against chunks of one byte that cost more than their bytes.
func TestTinyChunksThatStop(t *testing.T) { survives(t, sendTinyChunks) }

// Guards against callers that don't read their responses, which then stay in the
// memory of the process.
func TestSlowReaders(t *testing.T) { survives(t, readSlowly) }

// sendAllKinds sends one of all kinds on each connection.
func sendAllKinds(i int, c net.Conn) error {
	kinds := []sender{sendHead, sendEmptyLines, sendWhole, sendPieces, sendLargeChunks, sendTinyChunks, readSlowly}
	return kinds[i%len(kinds)](i/len(kinds), c)
}

// Guards against all kinds at once that together exceed what each of them stays
// under.
func TestAllKinds(t *testing.T) { survives(t, sendAllKinds) }

// Guards against a crowd that keeps a node from stopping in time.
func TestStopDuringCrowd(t *testing.T) {
	s := start(t)
	crowd := s.send(t, sendAllKinds)
	s.awaitServed()
	s.check()
	s.signal(syscall.SIGTERM)
	assert.Assert(t, s.process.WaitExit(grace), "the process hasn't ended by itself: %s", s.process.Tail())
	crowd.sending.Wait()
}

// Guards against a crowd that keeps a node from reading its settings, or that ends
// it when they change.
func TestSettingsChangeDuringCrowd(t *testing.T) {
	s := start(t)
	crowd := s.send(t, sendAllKinds)
	s.writeSettings("warn")
	s.signal(syscall.SIGHUP)
	s.awaitServed()
	crowd.sending.Wait()
	s.awaitServed()
	s.check()
}
