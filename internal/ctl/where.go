package ctl

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/api"
)

var errWhereJobAndQueue = errors.New("name either a job or, with --queue, the queue of one that is not sent")

func (o *options) whereCommand() *cobra.Command {
	var queue, team, label string
	var gang bool
	var tasks, milliCPU, memoryMB, gpus, perWorker int
	var estimate time.Duration
	command := &cobra.Command{
		Use:   "where [JOB]",
		Short: "Say where a multi-step job would go now and why, without sending it",
		Long: "where asks a control replica where the waiting tasks of a job would go, or those of a job with one step\n" +
			"that is described by flags. --entry is the metrics address of a control replica (listen_metrics), which\n" +
			"need not lead. The answer names the age of the data. What the leader alone knows is not part of it: the\n" +
			"workers that the adviser grants, the workers that are avoided, and their speeds.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			values := url.Values{}
			switch {
			case (len(args) == 1) == (queue != ""):
				return errWhereJobAndQueue
			case len(args) == 1:
				values.Set("job", args[0])
			default:
				for name, value := range map[string]string{
					"queue": queue, "team": team, "label": label, "gang": strconv.FormatBool(gang),
					"tasks": strconv.Itoa(tasks), "milli_cpu": strconv.Itoa(milliCPU), "memory_mb": strconv.Itoa(memoryMB), "gpus": strconv.Itoa(gpus),
					"max_per_worker": strconv.Itoa(perWorker), "estimate_ms": strconv.FormatInt(estimate.Milliseconds(), 10),
				} {
					values.Set(name, value)
				}
			}
			var where api.Where
			if err := o.read(command, api.WherePath+"?"+values.Encode(), &where); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), where, func(out io.Writer) { printWhere(out, where) })
		},
	}
	flags := command.Flags()
	flags.StringVar(&queue, "queue", "", "queue of a job that is not sent")
	flags.StringVar(&team, "team", "", "its team")
	flags.IntVar(&tasks, "tasks", 1, "its tasks")
	flags.IntVar(&milliCPU, "milli-cpu", 0, "demand of each task in thousandths of a core")
	flags.IntVar(&memoryMB, "memory-mb", 0, "demand of each task in MB")
	flags.IntVar(&gpus, "gpus", 0, "demand of each task in GPUs")
	flags.IntVar(&perWorker, "max-per-worker", 0, "limit of its tasks on one worker; 0 is no limit")
	flags.BoolVar(&gang, "gang", false, "the tasks run together or not at all")
	flags.StringVar(&label, "label", "", "label that a worker must have")
	flags.DurationVar(&estimate, "estimate", 0, "declared run time of a task")
	return command
}

func printWhere(out io.Writer, where api.Where) {
	e := where.Explanation
	fmt.Fprintf(out, "data of a control replica, %d ms old\n", where.AgeMillis)
	if e.Refusal != workload.RefusalNone {
		fmt.Fprintf(out, "refused: %s", e.Refusal)
		if e.RetryAfter > 0 {
			fmt.Fprintf(out, ", room in %v", e.RetryAfter.Round(time.Millisecond))
		}
		fmt.Fprintln(out)
	}
	if e.Queue == "" {
		return
	}
	fmt.Fprintf(out, "queue %s, priority %d, %d jobs pending, %s\n", e.Queue, e.Priority, e.PendingJobs, e.State)
	if e.Team != "" {
		fmt.Fprintf(out, "team %s uses %s of %s, weight %g", e.Team, resourceText(e.TeamUse), resourceText(e.TeamCap), e.TeamWeight)
		if e.BeyondShare {
			fmt.Fprint(out, ", beyond its rate")
		}
		fmt.Fprintln(out)
	}
	if e.Advised {
		fmt.Fprintln(out, "the adviser decides which of the workers may run it; the leader knows its answers")
	}
	fmt.Fprintf(out, "run times are expected to be %.2f of the declared ones, wait for room about %v\n", e.RunTimeRatio, e.ExpectedWait.Round(time.Millisecond))
	for _, step := range e.Steps {
		printWhereStep(out, step)
	}
}

func printWhereStep(out io.Writer, step workload.StepExplanation) {
	kind := "tasks"
	if step.Gang {
		kind = "members of a gang"
	}
	fmt.Fprintf(out, "step %d: %d %s wait, %d run; %v a task, ends in %v\n", step.Step, step.Waiting, kind, step.Running,
		step.RunTime.Round(time.Millisecond), step.EndExpected.Round(time.Millisecond))
	if step.Waiting == 0 {
		return
	}
	if step.Blocked != workload.RefusalNone {
		fmt.Fprintf(out, "  none would start now: %s\n", step.Blocked)
	}
	fmt.Fprintf(out, "  %d would fit on %d workers", step.Slots, step.FittingAll)
	if len(step.Fitting) > 0 {
		names := make([]string, len(step.Fitting))
		for i, worker := range step.Fitting {
			names[i] = string(worker)
		}
		fmt.Fprintf(out, ", first %s", strings.Join(names, ", "))
	}
	fmt.Fprintln(out)
	for _, unfit := range step.Unfitting {
		fmt.Fprintf(out, "  %d workers: %s\n", unfit.Workers, unfit.Reason)
	}
}

// resourceText lists the dimensions of a demand or a limit that are not 0.
func resourceText(r workload.Resources) string {
	var parts []string
	for _, part := range []struct {
		amount int64
		unit   string
	}{{r.MilliCPU, "mCPU"}, {r.MemoryMB, "MB"}, {r.GPUs, "GPU"}} {
		if part.amount != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", part.amount, part.unit))
		}
	}
	if len(parts) == 0 {
		return "(none)"
	}
	return strings.Join(parts, " ")
}
