package commands

import (
	"errors"
	"io"
)

type burnCmd struct{}

func (*burnCmd) run(io.Writer, io.Writer) error { return errors.New("not yet") }
