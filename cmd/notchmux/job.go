package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/wire"
)

type jobCmd struct {
	Addr     string      `default:"127.0.0.1:8080" env:"NOTCHMUX_ADDR" help:"Public address of the service, host:port."`
	Submit   submitCmd   `cmd:"" help:"Submit the job described in a JSON file."`
	Show     showCmd     `cmd:"" help:"Show a job's state."`
	Withdraw withdrawCmd `cmd:"" help:"Cancel a job."`
}

type submitCmd struct {
	File string `arg:"" help:"JSON file with the protocol's field names; - for standard input."`
}

// Run submits.
func (c *submitCmd) Run(_ io.Writer, job *jobCmd) error {
	in := os.Stdin
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	var m map[string]any
	if err := json.NewDecoder(in).Decode(&m); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	body, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	if _, err := wire.DecodeJob(body); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return call(job.Addr, "POST", "/work", body)
}

type showCmd struct {
	ID string `arg:"" help:"The job's id."`
}

// Run shows.
func (c *showCmd) Run(_ io.Writer, job *jobCmd) error {
	return call(job.Addr, "GET", "/work/"+c.ID, nil)
}

type withdrawCmd struct {
	ID string `arg:"" help:"The job's id."`
}

// Run withdraws.
func (c *withdrawCmd) Run(_ io.Writer, job *jobCmd) error {
	return call(job.Addr, "POST", "/work/"+c.ID+"/withdraw", nil)
}

// call asks the service, and again when it says to come back, for a minute.
func call(addr, method, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.SetBodyRaw(body)
	for end := time.Now().Add(time.Minute); ; {
		err := fasthttp.DoTimeout(req, resp, 5*time.Second)
		code := resp.StatusCode()
		switch {
		case err == nil && (code == 200 || code == 201):
			var s wire.JobStatus
			if err := wire.Unmarshal(resp.Body(), &s); err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(s)
		case err == nil && (code == 400 || code == 404 || code == 422):
			var e map[string]any
			_ = wire.Unmarshal(resp.Body(), &e)
			return fmt.Errorf("status %d: %v", code, e["error"])
		case time.Now().After(end):
			return errors.Join(fmt.Errorf("status %d", code), err)
		}
		wait := time.Second
		var after int
		if _, serr := fmt.Sscan(string(resp.Header.Peek("Retry-After")), &after); serr == nil {
			wait = max(wait, time.Duration(min(after, 30))*time.Second)
		}
		time.Sleep(wait)
	}
}
