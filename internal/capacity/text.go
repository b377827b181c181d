package capacity

// pageText is the template of docs/CAPACITY.md.
const pageText = `# Capacity

Worked out by ` + "`make capacity`" + ` from the slopes in
[capacity/slopes.json](capacity/slopes.json) (measured by ` + "`{{.Measured.Command}}`" + ` on
{{.Measured.Date}}, {{.Measured.Machine}}) and the fleet in
[capacity/target.json](capacity/target.json). Do not edit: change the model in
` + "`internal/capacity`" + `. The plots of the measurements are in [capacity/](capacity/).

The costs of a light host and of a probe are measured in a process that also
runs the other side of the exchange or the measuring itself, so they are upper
bounds. Resident memory of a whole process is measured apart (below).

## Whole fleets

{{with .Sweep}}Played on the users' platform ({{.Source}}, code of {{.Revision}}, {{.Date}}): the busiest host
of each role and the longest times, the power of the number of machines with which each
grows, and what that leads to at {{.TargetMachines}} machines. Nothing larger than the last size was played.

| figure | unit |{{range .Machines}} {{.}} |{{end}} power | at {{.TargetMachines}} | verdict | rests on |
|---|---|{{range .Machines}}---|{{end}}---|---|---|---|
| worth served | share |{{range .Served}} {{value .}} |{{end}} | | | |
{{range .Rows}}| {{.What}} | {{.Unit}} |{{range .Values}} {{value .}} |{{end}} {{printf "%.2f" .Power}} | {{value .AtTarget}} | {{.Verdict}} | {{.Mechanism}} |
{{end}}{{end}}
The tables below divide such figures by mechanism. Where they differ, the whole fleets count.

## Target and assumptions

{{with .Goal.Target}}| | |
|---|---|
| hosts, databases, endpoints | {{.Hosts}}, {{.Databases}}, {{.Endpoints}} |
| caller connections, statements a second | {{.CallerConnections}}, {{number .Statements}} |
| regions, failure domains | {{.Regions}}, {{.Domains}} |
| hosts set aside for control | {{.ControlHosts}}: {{.Voters}} voters, {{.Relays}} relays |
| notes, restarts, host failures, changes of primary a day | {{number .NotesPerDay}}, {{number .RestartsPerDay}}, {{number .HostFailuresDay}}, {{number .PrimaryChangesDay}} |
| assumed: workspaces (with {{.KeysPerWorkspace}} keys each) | {{.Workspaces}} |
| assumed: workspaces active on a host at a time | {{.ActiveWorkspaces}} |
| assumed: home hosts of a database | {{.HomeHosts}} |
| assumed: announcement of an endpoint every | {{.AnnounceInterval}} s |
{{end}}
## Each role
{{range .Roles}}
### {{.Name}} ({{.Count}})

| state or work | mechanism (design note) | load | CPU of a core | traffic | messages/s | memory |
|---|---|---|---|---|---|---|
{{range .Items}}| {{.Name}} | {{.Mechanism}} | {{.Basis}} | {{percent .CPU}} | {{size .Traffic}}/s | {{number .Messages}} | {{size .Memory}} |
{{end}}| **total** | | | **{{percent .Sum.CPU}}** | **{{size .Sum.Traffic}}/s** | {{number .Sum.Messages}} | **{{size .Sum.Memory}}** |
{{if .Bound}}| bound | | | {{percent .Bound.CPU}} | {{size .Bound.Traffic}}/s | | {{size .Bound.Memory}} |
| verdict | | | {{verdict .Sum.CPU .Bound.CPU}} | {{verdict .Sum.Traffic .Bound.Traffic}} | | {{verdict .Sum.Memory .Bound.Memory}} |
{{end}}{{end}}
The bounds hold for the control work of an ordinary host. Relays and voters are
set aside for control. The work for callers is listed for comparison.

## Reactions

| what | worst case by the protocol's own times | worked | bound | verdict |
|---|---|---|---|---|
{{range .Timing}}| {{.What}} | {{.Steps}} | {{seconds .Seconds}} | {{seconds .Bound}} | {{verdict .Seconds .Bound}} |
{{end}}
## Rare events

| event | load | mechanism |
|---|---|---|
{{range .Storms}}| {{.Event}} | {{.Load}} | {{.Mechanism}} |
{{end}}
## A region that is cut off

For that hour its hosts hold no configuration lease: they cannot know whether a
key was withdrawn, a domain taken out or a primary replaced. They refuse keyed
work as not run (GB2001), so that callers may go to another region, and no
endpoint in the region is written to. Groups whose primary stood there are
failed over when a majority of their endpoints is on the other side; a group with
its majority inside the cut region waits, since promoting a minority could lose
acknowledged records. With five voters, at most two of them in one region, the
other side always has a quorum. If the four regions lose each other all at once, no
side has a quorum and all keyed work stops until regions with three of the
voters reach each other.

## What misses, and what is not built

- Statements are forwarded to the home hosts of a database on the platform (013),
  not by the PostgreSQL entry, from which the slopes are: there every host serves
  every database. The cost of the hop is not in the figures.
- The slopes stand for one machine with all processes on loopback: network
  latency, TLS between hosts and loss are not in them.
- Positions gathered from the home set are counted with the statements; with
  one entry host in the measurement they cost nothing there (006 has the cost
  of asking).
- Resident memory of an entry process includes the Go runtime and the program
  itself, which the table of mechanisms leaves out; see the base of
  entry_memory_per_idle_caller below.

## Slopes

| slope | per | unit | per unit | base | R² | points |
|---|---|---|---|---|---|---|
{{range .Measured.Slopes}}| {{.Name}} | {{.Variable}} | {{.Unit}} | {{number .PerUnit}} | {{number .Base}} | {{number .R2}} | {{len .Points}} |
{{end}}`
