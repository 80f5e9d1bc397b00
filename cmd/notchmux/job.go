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
	Addr     string    `default:"127.0.0.1:8080" env:"NOTCHMUX_ADDR" help:"Public address of the service, host:port."`
	Submit   submitCmd `cmd:"" help:"Submit the job described in a JSON file."`
	Show     statusCmd `cmd:"" help:"Show a job's state."`
	Withdraw cancelCmd `cmd:"" help:"Cancel a job."`
}

type submitCmd struct {
	File string `arg:"" help:"JSON file with the field names of the protocol; - for standard input."`
}

// Run submits the job and prints its status.
func (c *submitCmd) Run(_ io.Writer, job *jobCmd) error {
	input := os.Stdin
	if c.File != "-" {
		file, err := os.Open(c.File)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	var document map[string]any
	if err := json.NewDecoder(input).Decode(&document); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	body, err := wire.Marshal(document)
	if err != nil {
		return err
	}
	if _, err := wire.DecodeJob(body); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return callWithRetry(job.Addr, "POST", "/work", body)
}

type statusCmd struct {
	ID string `arg:"" help:"The job's ID."`
}

// Run prints the job's status.
func (c *statusCmd) Run(_ io.Writer, job *jobCmd) error {
	return callWithRetry(job.Addr, "GET", "/work/"+c.ID, nil)
}

type cancelCmd struct {
	ID string `arg:"" help:"The job's ID."`
}

// Run cancels the job and prints its status.
func (c *cancelCmd) Run(_ io.Writer, job *jobCmd) error {
	return callWithRetry(job.Addr, "POST", "/work/"+c.ID+"/withdraw", nil)
}

// callWithRetry sends a request and prints the job status in the response. For one minute it retries requests that
// fail or get a status other than 200, 201, 400, 404 and 422, after the delay in Retry-After (1 s to 30 s).
func callWithRetry(addr, method, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.SetBodyRaw(body)
	for deadline := time.Now().Add(time.Minute); ; {
		err := fasthttp.DoTimeout(req, resp, 5*time.Second)
		code := resp.StatusCode()
		switch {
		case err == nil && (code == 200 || code == 201):
			var status wire.JobStatus
			if err := wire.Unmarshal(resp.Body(), &status); err != nil {
				return err
			}
			return json.NewEncoder(os.Stdout).Encode(status)
		case err == nil && (code == 400 || code == 404 || code == 422):
			var failure map[string]any
			_ = wire.Unmarshal(resp.Body(), &failure)
			return fmt.Errorf("status %d: %v", code, failure["error"])
		case time.Now().After(deadline):
			return errors.Join(fmt.Errorf("no success within one minute: last status %d", code), err)
		}
		wait := time.Second
		var retryAfterS int
		if _, scanErr := fmt.Sscan(string(resp.Header.Peek("Retry-After")), &retryAfterS); scanErr == nil {
			wait = max(wait, time.Duration(min(retryAfterS, 30))*time.Second)
		}
		time.Sleep(wait)
	}
}
