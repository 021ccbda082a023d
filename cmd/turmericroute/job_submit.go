package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"turmericroute/client"
	"turmericroute/config"
	"turmericroute/model"
)

const jobSubmitUsage = `
Submits a job, which runs whole or not at all. Its shape is -tasks tasks of
-gpus, -cores and -memory-mb each. With -f the specification is read as JSON from
a file, or from standard input with "-f -". Submitting the same job again with
the same ID is safe.

EXAMPLE
  turmericroute job submit -id bend-417 -team tejados -tasks 4 -gpus 8 -cores 16 -memory-mb 32768 -same-rack`

// maxSpecBytes bounds the size of a job specification read with -f.
const maxSpecBytes = 256 << 10

type jobSubmit struct {
	spec        model.JobSpec
	file        string
	dataCentres string
}

func jobSubmitCommand() commandSpec {
	c := &jobSubmit{}
	return commandSpec{
		name: "submit", short: "submit a job", long: jobSubmitUsage, flags: c.flags, run: withClient(c.run),
	}
}

func (c *jobSubmit) flags(fs *flag.FlagSet) {
	fs.StringVar(&c.file, "f", "", "`file` with the specification as JSON, - for standard input")
	fs.StringVar(&c.spec.ID, "id", "", "job `ID`; generated when empty")
	fs.StringVar(&c.spec.Team, "team", "", "`team` that the job counts against")
	fs.IntVar(&c.spec.Shape.Tasks, "tasks", 1, "number of tasks, which run together")
	fs.IntVar(&c.spec.Shape.GPUs, "gpus", 0, "accelerators per task")
	fs.IntVar(&c.spec.Shape.Cores, "cores", 0, "cores per task")
	fs.IntVar(&c.spec.Shape.MemoryMB, "memory-mb", 0, "memory per task in MiB")
	fs.BoolVar(&c.spec.Shape.SameRack, "same-rack", false, "place all tasks in one rack")
	fs.BoolVar(&c.spec.Urgent, "urgent", false, "start within 2.1 s if the job fits the team's guarantee")
	fs.StringVar(&c.dataCentres, "data-centres", "", "comma-separated data centres where the job may run")
	fs.Float64Var(&c.spec.DeclaredSeconds, "declared-seconds", 0, "expected run time in seconds")
	fs.IntVar(&c.spec.MaxAttempts, "max-attempts", 0, "maximum attempts of a failing job, 0 for the default")
	fs.StringVar(&c.spec.Payload, "payload", "", "text passed to every task")
}

func (c *jobSubmit) run(ctx context.Context, s *session, api *client.Client, _ []string) error {
	spec, err := c.buildSpec(s.in)
	if err != nil {
		return err
	}
	job, err := api.SubmitJob(ctx, spec)
	if err != nil {
		if model.AsError(err).Outcome == model.OutcomeUnknown {
			hint := fmt.Sprintf("submit again with -id %s; the job is not run twice", spec.ID)
			return &hintedError{err: err, hint: hint}
		}
		return err
	}
	return s.print(job, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "job %s is %s\n", job.Spec.ID, job.State)
		return err
	})
}

func (c *jobSubmit) buildSpec(in io.Reader) (model.JobSpec, error) {
	spec := c.spec
	spec.DataCentres = splitList(c.dataCentres)
	if c.file != "" {
		var err error
		if spec, err = readSpec(c.file, in); err != nil {
			return spec, err
		}
	}
	if spec.ID == "" {
		spec.ID = "j-" + strings.ToLower(rand.Text())
	}
	if spec.Team == "" {
		return spec, usagef("add -team NAME", "the job names no team")
	}
	return spec, nil
}

func readSpec(file string, in io.Reader) (model.JobSpec, error) {
	var spec model.JobSpec
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return spec, usagef("check the name after -f", "cannot open the specification: %v", err)
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxSpecBytes+1))
	if err != nil {
		return spec, fmt.Errorf("read specification: %w", err)
	}
	if len(b) > maxSpecBytes {
		return spec, usagef("shorten the payload", "the specification exceeds %d bytes", maxSpecBytes)
	}
	if err := config.DecodeJSON(b, &spec); err != nil {
		return spec, usagef("correct the file", "specification %s: %s", file, model.AsError(err).Message)
	}
	return spec, nil
}
