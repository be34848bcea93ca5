package strictconf

import (
	"errors"
	"sort"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// node is a value of a file with the line on which it is defined.
type node struct {
	line     int
	value    any              // as decoded by the TOML library
	children map[string]*node // values of a table, by key
	items    []*node          // elements of an array
}

// parseTree decodes data and determines the line of each key. The decoder of the TOML library decides
// whether the syntax is valid; its parser is used only for the positions.
func parseTree(data []byte) (*node, *Fault) {
	values := map[string]any{}
	if err := toml.Unmarshal(data, &values); err != nil {
		return nil, syntaxFault(err)
	}
	root := tableNode(1, values)
	setLines(root, data)
	return root, nil
}

func syntaxFault(err error) *Fault {
	fault := &Fault{Problem: err.Error()}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		fault.Line, _ = decodeErr.Position()
	}
	return fault
}

func tableNode(line int, values map[string]any) *node {
	n := &node{line: line, value: values, children: map[string]*node{}}
	for key, value := range values {
		n.children[key] = valueNode(line, value)
	}
	return n
}

func valueNode(line int, value any) *node {
	switch value := value.(type) {
	case map[string]any:
		return tableNode(line, value)
	case []any:
		n := &node{line: line, value: value}
		for _, item := range value {
			n.items = append(n.items, valueNode(line, item))
		}
		return n
	default:
		return &node{line: line, value: value}
	}
}

// lineIndex holds the offset of each line break, in ascending order. The parser would count the lines
// from the start of the file for the position of every key, which took 24 s for a file of 740 KB.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	var ends lineIndex
	for offset, b := range data {
		if b == '\n' {
			ends = append(ends, offset)
		}
	}
	return ends
}

// lineAt returns the line number of an offset, starting at 1.
func (l lineIndex) lineAt(offset uint32) int { return 1 + sort.SearchInts(l, int(offset)) }

// setLines walks the expressions of the file in order and sets the line of each node that they
// define.
func setLines(root *node, data []byte) {
	var parser unstable.Parser
	parser.Reset(data)
	lines := newLineIndex(data)
	tablesSeen := map[*node]int{} // number of tables seen so far in each array of tables
	table := root
	for parser.NextExpression() {
		expr := parser.Expression()
		switch expr.Kind {
		case unstable.Table:
			table = followKey(lines, root, expr, tablesSeen, false)
		case unstable.ArrayTable:
			table = followKey(lines, root, expr, tablesSeen, true)
		case unstable.KeyValue:
			setKeyValueLines(lines, table, expr, tablesSeen)
		}
		if table == nil {
			return
		}
	}
}

func setKeyValueLines(lines lineIndex, table *node, expr *unstable.Node, tablesSeen map[*node]int) {
	target := followKey(lines, table, expr, tablesSeen, false)
	if target == nil {
		return
	}
	for _, item := range target.items {
		item.line = target.line
	}
	value := expr.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		if it.Node().Kind == unstable.KeyValue {
			setKeyValueLines(lines, target, it.Node(), tablesSeen)
		}
	}
}

// followKey follows the key of expr from start, sets the lines of the nodes on the way, and returns the
// last one, or nil if there is none. In an array of tables it enters the latest table or, if newTable is
// set and the key ends there, the next one.
func followKey(lines lineIndex, start *node, expr *unstable.Node, tablesSeen map[*node]int, newTable bool) *node {
	current := start
	for it := expr.Key(); it.Next(); {
		key := it.Node()
		next := current.children[string(key.Data)]
		if next == nil {
			return nil
		}
		line := lines.lineAt(key.Raw.Offset)
		last := it.IsLast()
		if last || next.line == start.line {
			next.line = line
		}
		if newTable && last {
			tablesSeen[next]++
		}
		if seen := tablesSeen[next]; seen > 0 && seen <= len(next.items) {
			next = next.items[seen-1]
			if newTable && last {
				next.line = line
			}
		}
		current = next
	}
	return current
}
