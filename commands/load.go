package commands

import (
	"errors"
	"io"
)

type loadCmd struct{}

func (*loadCmd) run(io.Writer, io.Writer) error { return errors.New("not yet") }

type burnCmd struct{}

func (*burnCmd) run(io.Writer, io.Writer) error { return errors.New("not yet") }
