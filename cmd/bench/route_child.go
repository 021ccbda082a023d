package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// child is a subprocess of this command that answers requests as JSON lines.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// startChild runs this command in the given role, so that the load generator and the
// fake executors do not share a process with the measured entries.
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

// call sends one request and decodes the response into resp.
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
		return fmt.Errorf("decode response of child: %w", err)
	}
	return nil
}

// stop closes the input of the child, which makes it exit, and waits for that.
func (c *child) stop() {
	c.in.Close()
	if err := c.cmd.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "child:", err)
	}
}

// serveLines answers JSON requests, one per line, from standard input until it is closed.
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
			return fmt.Errorf("encode response: %w", err)
		}
	}
}
