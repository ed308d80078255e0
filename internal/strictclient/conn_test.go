package strictclient

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
)

// connect returns both ends of a connection; the first one is strict.
func connect(t *testing.T) (*conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := Dial((&net.Dialer{}).DialContext)(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return client.(*conn), server.(*net.TCPConn)
}

// writeUntilError writes until the connection is closed.
func writeUntilError(c net.Conn) {
	for err := error(nil); err == nil; {
		_, err = c.Write(make([]byte, 64<<10))
	}
}

// Guards against a reset that looks like an orderly end, because a write got its error.
func TestResetIsNoEnd(t *testing.T) {
	client, server := connect(t)
	if _, err := server.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	part := make([]byte, 4)
	if _, err := io.ReadFull(client, part); err != nil {
		t.Fatal(err)
	}
	_ = server.SetLinger(0)
	server.Close()
	writeUntilError(client)
	if n, err := client.Conn.Read(part); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("the kernel reports %d bytes and %v after the write; the test means an end", n, err)
	}
	if n, err := client.Read(part); n != 0 || !errors.Is(err, errReset) {
		t.Errorf("read %d bytes and %v, want a reset", n, err)
	}
}

// Guards against an orderly end that counts as a reset or is not reported, because a write waits for a peer that does not read.
func TestOrderlyEndDuringWrite(t *testing.T) {
	client, server := connect(t)
	go writeUntilError(client)
	if _, err := server.Write([]byte("whole")); err != nil {
		t.Fatal(err)
	}
	if err := server.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(client); err != nil || string(body) != "whole" {
		t.Errorf("read %q and %v", body, err)
	}
}

// Guards against an orderly end that counts as a reset because this side closes the connection at the same time.
func TestEndOfClosedConnection(t *testing.T) {
	client, server := connect(t)
	server.Close()
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v, want an end", err)
	}
	client.Close()
	if _, err := client.Read(make([]byte, 1)); errors.Is(err, errReset) {
		t.Error("a connection that this side closed counts as reset")
	}
}
