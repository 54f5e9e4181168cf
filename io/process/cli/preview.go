package cli

import (
	"cowslipway/io/process/preview"
)

// previewCommand is the command "preview".
type previewCommand struct {
	baseCommand

	Member       string `long:"member" required:"true" value-name:"ADDRESS" description:"metrics_listen of an ingress or worker"`
	Host         string `long:"host" required:"true" value-name:"HOST" description:"host of the request"`
	Account      string `long:"account" value-name:"NAME" description:"client account that sends it"`
	RequestID    string `long:"id" value-name:"ID" description:"identifier of the request or job, which selects its service or owner"`
	OutputTokens int    `long:"output-tokens" value-name:"N" description:"largest output that the request declares"`
	Arguments    struct {
		Path string `positional-arg-name:"PATH" description:"path of the request, or of the submission of a batch job"`
	} `positional-args:"true" required:"true"`
}

// Execute prints where the request would go now.
func (command *previewCommand) Execute([]string) (err error) {
	question := preview.Question{Host: command.Host, Path: command.Arguments.Path, RequestID: command.RequestID, Account: command.Account, OutputTokens: command.OutputTokens}
	if _, err = preview.ParseQuestion(question.Query()); err != nil {
		return exitError{code: ExitUsage, err: err}
	}
	report, err := preview.Fetch(command.ctx, command.Member, question)
	if err != nil {
		return err
	}
	return report.Write(command.cli.Out)
}
