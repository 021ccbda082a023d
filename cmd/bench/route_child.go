package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// child is a second process of this command that answers JSON lines.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// startChild runs this command again in the given role, so that load and
// stand-ins do not share a process with what is measured.
func startChild(role string) (*child, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find own executable: %w", err)
	}
	cmd := exec.Command(exe, "route", "-role", role)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("pipe to %s: %w", role, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("pipe from %s: %w", role, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", role, err)
	}
	return &child{cmd: cmd, in: in, out: bufio.NewReaderSize(out, 1<<20)}, nil
}

// call sends one request and waits for its answer.
func (c *child) call(req, resp any) error {
	b, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode request to child: %w", err)
	}
	if _, err := c.in.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("write to child: %w", err)
	}
	line, err := c.out.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("read from child: %w", err)
	}
	if err := json.Unmarshal(line, resp); err != nil {
		return fmt.Errorf("decode answer of child: %w", err)
	}
	return nil
}

// stop ends the child by closing its input.
func (c *child) stop() {
	c.in.Close()
	if err := c.cmd.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "child:", err)
	}
}

// serveLines serves JSON lines from standard input until it ends.
func serveLines[Req, Resp any](serve func(Req) (Resp, error)) error {
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	out := json.NewEncoder(os.Stdout)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return nil
		}
		var req Req
		if err := json.Unmarshal(line, &req); err != nil {
			return fmt.Errorf("decode request: %w", err)
		}
		resp, err := serve(req)
		if err != nil {
			return err
		}
		if err := out.Encode(resp); err != nil {
			return fmt.Errorf("encode answer: %w", err)
		}
	}
}
