#!/usr/bin/env bash
# Generates variants of site files: each NAME.variant in this script's directory, or only those named as arguments, becomes
# out/NAME/NAME.toml, and the original site's real.json, wire.json and unlock.txt are copied next to it. The repository holds
# no part of the given site files: a variant has only the locations of keys and their new values, one per line:
#
#     from PATH                  the site file, under ../given
#     set SECTION KEY VALUE      the key must occur exactly once
#     add SECTION KEY VALUE      the key must not occur
#     drop SECTION KEY           the key must occur exactly once
#
# SECTION is the name of a table ('.' for the part before the first table). An element of a list of tables is selected by
# its name, as in class:NAME, or by its position, as in fam.plan:3. Blank lines and lines that begin with # are ignored.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
given=$here/../../../given
fail() { echo "layout: $*" >&2; exit 1; }

[ -d "$given" ] || fail "there is no ../given beside the repository: the site files come from there"
[ $# -gt 0 ] || set -- $(cd "$here" && ls | sed -n 's/\.variant$//p')
[ $# -gt 0 ] || fail "there is no variant in deploy/sites"
for name; do
	variant=$here/$name.variant
	[ -f "$variant" ] || fail "there is no deploy/sites/$name.variant"
	from=$(sed -n 's/^from //p' "$variant")
	[ -f "$given/$from" ] || fail "$name: there is no ../given/$from"
	for f in real.json wire.json unlock.txt; do
		[ -f "$given/$(dirname "$from")/$f" ] || fail "$name: there is no $f beside ../given/$from"
	done
	out=$here/out/$name
	rm -rf "$out"
	mkdir -p "$out"
	awk -v name="$name" '
	function wrong(text) { print "layout: " name ": " text > "/dev/stderr"; bad = 1; exit 1 }
	FNR == 1 { file++ }
	file == 1 && (/^#/ || /^[ \t]*$/) { next }
	file == 1 && $1 == "from" { if (froms++ || NF != 2) wrong("one line \"from PATH\" is wanted"); next }
	file == 1 { # a substitution
		if (!($1 == "drop" && NF == 3 || ($1 == "set" || $1 == "add") && NF > 3)) wrong("not understood: " $0)
		n++; op[n] = $1; section[n] = $2; key[n] = $3; value[n] = $0; told[n] = $1 " " $2 " " $3
		sub(/^[a-z]+ +[^ ]+ +[^ ]+ */, "", value[n])
		if (seen[$2, $3]++) wrong("named twice: " told[n])
		next
	}
	{ # the site: table[] is each line'"'"'s table, by its number; title[] its name, place[] its place in a list
		line[++lines] = $0
		if ($0 ~ /^\[/) { tables++; title[tables] = $0; gsub(/[][ \t\r]/, "", title[tables]); place[tables] = ++count[title[tables]] }
		table[lines] = tables + 0
		if ($0 ~ /^[A-Za-z]/ && $2 == "=") {
			word[lines] = $1; last[tables + 0] = lines
			if ($1 == "name") { called[tables + 0] = $3; gsub(/"/, "", called[tables + 0]) }
		}
	}
	END {
		if (bad) exit 1
		if (!lines) wrong("the site file is empty")
		title[0] = "."; place[0] = 1
		for (i = 1; i <= n; i++) {
			split(section[i], part, ":")
			found = hits = 0
			for (t = 0; t <= tables; t++) {
				if (title[t] != part[1] || part[2] != "" && part[2] != place[t] && part[2] != called[t]) continue
				found++; at = last[t]
				for (l = 1; l <= lines; l++) if (table[l] == t && word[l] == key[i]) { hits++; hit = l }
			}
			if (!found) wrong("matches no table: " told[i])
			if (found > 1) wrong("matches " found " tables where one is meant: " told[i])
			if (op[i] == "add") {
				if (hits) wrong("stands there already: " told[i])
				if (!at) wrong("the table has no key to add it after: " told[i])
				after[at] = after[at] "\n" key[i] " = " value[i]
				continue
			}
			if (!hits) wrong("matches nothing: " told[i])
			if (hits > 1) wrong("matches " hits " lines where one is meant: " told[i])
			if (line[hit] ~ /\[/ && line[hit] !~ /\]/) wrong("the value goes over several lines: " told[i])
			if (op[i] == "drop") gone[hit] = 1
			else line[hit] = key[i] " = " value[i]
		}
		for (l = 1; l <= lines; l++) if (!gone[l]) print line[l] after[l]; else if (after[l]) print substr(after[l], 2)
	}' "$variant" "$given/$from" >"$out/$name.toml" || { rm -rf "$out"; exit 1; }
	for f in real.json wire.json unlock.txt; do cp "$given/$(dirname "$from")/$f" "$out/$f"; done
	chmod u+w "$out"/*
	echo "deploy/sites/out/$name/$name.toml"
done
