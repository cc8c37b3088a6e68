# Holds the output of `cargo test --no-fail-fast` against KNOWN-RED.txt.
#
# Usage: awk -v list=KNOWN-RED.txt -v status=STATUS -f judge-tests.awk OUTPUT, with cargo's exit status.
# An entry of KNOWN-RED.txt begins with `file::test`, as `large_config::slow_store`; empty lines and
# lines that begin with # hold none. Each listed test that failed is printed. The exit status is 1 for
# a failed test that is not listed, for a test program or a run that failed without naming a failed
# test (a crash, a kill), and for a run without tests.

BEGIN {
    while ((getline line < list) > 0) {
        if (line != "" && line !~ /^#/) {
            split(line, words, " ")
            # The name may end as in a sentence.
            sub(/[:,]$/, "", words[1])
            known[words[1]] = line
        }
    }
}

# The program whose tests follow: tests/NAME.rs, or src/lib.rs for unit tests.
/^ +Running / {
    program = $2 == "unittests" ? $3 : $2
    sub(/.*\//, "", program)
    sub(/\.rs$/, "", program)
}
/^ +Doc-tests / { program = "doc" }

/^test .* \.\.\. / { ran++ }

# The end of a line may follow some output of the test itself, so names come from the summary.
/^failures:$/ { in_summary = 1; next }
/^test result:/ {
    in_summary = 0
    if ($3 ~ /^FAILED/ && named > 0) {
        judged++
    }
    named = 0
}
in_summary && /^    [A-Za-z0-9_:]+$/ {
    test = program "::" $1
    named++
    if (test in seen) {
        next
    }
    seen[test] = 1
    if (test in known) {
        print "known red: " known[test]
    } else {
        print "failed: " test
        bad = 1
    }
}

# Cargo names each program that failed, at the end.
/^    `-p .*`$/ { failed_programs++ }

END {
    for (test in known) {
        if (!(test in seen)) {
            print "listed in KNOWN-RED.txt but passed: " test
        }
    }
    if (failed_programs > judged || (status != 0 && judged == 0) || (status != 0 && status != 101)) {
        print "a test program or the run failed without naming a failed test"
        bad = 1
    }
    if (ran == 0) {
        print "no test was run"
        bad = 1
    }
    exit bad
}
