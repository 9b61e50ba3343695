"""What each role costs at the target size, row by row, from the measured figures."""

from collections.abc import Sequence

from mangoway.daemons.const import (
    MAX_POLLS_PER_SECOND,
    POLL_PERIOD_S,
    REPORTERS_PER_ENGINE,
    STANDBY_PERIOD_S,
)
from mangoway.policy.dispatch.const import PREFIX_MAX_TOTAL, QUEUE_MAX_TOTAL
from mangoway.settings.process import DEFAULT_HOST_LIST_PERIOD_S

from .figures import Figures
from .meter import US_PER_S
from .rows import Role, Row
from .target import TARGET

KB_PER_MB = 1024
POLL_REQUEST_BYTES = 180
"""Head of a poll's request, and of its answer; read off the wire once."""

POLL_ANSWER_HEAD_BYTES = 160
RESIDENTS = 6
DEMAND_MODELS = 40
"""Models that a node's 46 requests a second ask for."""

KEYED_SHARE = 0.05
"""Part of the requests that may not be repeated; an assumption."""

KEY_KEPT_S = 630.0
"""Retention and allowed clock difference of an idempotency record."""

CHUNKED_STREAMS = 400
"""Streams at which the cost of a chunk is taken; the largest measured size."""

TOKENS_PER_REQUEST = TARGET.tokens_per_second / TARGET.requests_per_second
TOKEN_INTERVAL_S = 0.059


def list_roles(figures: Figures) -> Sequence[Role]:
    """Return all roles at the target size."""
    member_rows = _list_member_rows(figures)
    configuration = _make_configuration_row(figures, "edit_dispatch_us")
    gateway = Role(
        name="Gateway, control",
        rows=(
            *member_rows,
            _make_own_polls(figures),
            _make_news(figures),
            configuration,
            _make_host_list(figures),
            _make_gateway_demand(figures),
            Row(
                what="the process at rest: interpreter, libraries, listeners",
                mechanism="daemons/gateway",
                memory_mb=figures.rest.gateway_mb,
            ),
        ),
        remedies=GATEWAY_REMEDIES,
    )
    return (
        gateway,
        _make_data_path(figures),
        _make_active(figures, member_rows),
        _make_standby(figures, member_rows),
        _make_relay(figures),
        _make_home(figures),
    )


GATEWAY_REMEDIES = (
    "Bytes received: the host list read with conditional requests, or by two nodes of"
    " a cell that tell the others what changed; engines' reports asked for without"
    " the residents that did not change.",
    "Memory: the process at rest. Its state for control fits; the interpreter and the"
    " libraries do not. Fewer imports in a process of its own for control, or a limit"
    " that counts state only.",
    "Processor time: following an edit parses the cut of the whole base file;"
    " sections by offset from the delta would cost what the edit changed.",
)


def _list_member_rows(figures: Figures) -> tuple[Row, ...]:
    nodes, runners = TARGET.nodes_per_cell, TARGET.runners_per_cell
    reports = figures.cell.reports_sent
    digest_us = 2 * figures.series["digest_us"].fit.constant
    digest_us += reports * figures.find_slope("digest_us")
    wire_us = figures.series["wire_us"].fit.predict(0)
    return (
        Row(
            what=f"heartbeats of {nodes} members",
            mechanism="policy/membership, peers/member_codec",
            messages=2.0,
            sent=figures.predict("members_bytes", nodes),
            received=figures.predict("members_bytes", nodes),
            core_share=figures.predict("members_us", nodes) / US_PER_S,
            memory_mb=figures.predict("member_memory", nodes) / KB_PER_MB,
        ),
        Row(
            what="calls that carry them",
            mechanism="peers/client, peers/server",
            sent=figures.predict("wire_bytes", 0),
            received=figures.predict("wire_bytes", 0),
            core_share=wire_us / US_PER_S,
        ),
        Row(
            what=f"load digests of {runners} runners",
            mechanism="peers/report_codec, peers/reports",
            sent=reports * figures.find_slope("digest_bytes"),
            received=reports * figures.find_slope("digest_bytes"),
            core_share=digest_us / US_PER_S,
            memory_mb=(
                figures.predict("view_memory", runners) * (nodes - 1)
                + figures.predict("book_memory", runners)
            )
            / KB_PER_MB,
        ),
    )


def _make_polls(figures: Figures, polls: float, series: str) -> Row:
    decode_us = figures.predict("report_decode_us", RESIDENTS)
    decode_us -= figures.predict("report_decode_us", 1)
    each_us = figures.find_slope(series) + decode_us
    body = figures.predict("report_bytes", RESIDENTS)
    return Row(
        what=f"{polls:.1f} reports a second read from runners",
        mechanism="daemons/engine_poller, engines/codec",
        messages=polls,
        sent=polls * POLL_REQUEST_BYTES,
        received=polls * (body + POLL_ANSWER_HEAD_BYTES),
        core_share=polls * each_us / US_PER_S,
    )


def _make_own_polls(figures: Figures) -> Row:
    share = TARGET.runners_per_cell * REPORTERS_PER_ENGINE / TARGET.nodes_per_cell
    return _make_polls(figures, share / POLL_PERIOD_S, "poll_gateway_us")


def _make_news(figures: Figures) -> Row:
    runners = TARGET.runners_per_cell
    own = runners * REPORTERS_PER_ENGINE / TARGET.nodes_per_cell / POLL_PERIOD_S
    news = figures.cell.reports_new + own
    used_us = news * figures.predict("dispatch_report", runners)
    used_us += figures.predict("dispatch_period", runners)
    blocks_kb = PREFIX_MAX_TOTAL * figures.find_slope("prefix_memory")
    upstream_kb = figures.predict("upstream_memory", runners)
    return Row(
        what=f"{news:.0f} new reports a second into the decisions",
        mechanism="policy/dispatch/fleet, policy/dispatch/prefixes",
        core_share=used_us / US_PER_S,
        memory_mb=(blocks_kb + upstream_kb) / KB_PER_MB,
    )


def _make_configuration_row(figures: Figures, core: str) -> Row:
    models, nodes = TARGET.models, TARGET.nodes_per_cell
    rate = TARGET.changes_per_second
    messages = rate * figures.predict("edit_messages", nodes)
    body = figures.predict("edit_bytes", models) + figures.predict("wire_bytes", 0) / 2
    edit_us = figures.predict("edit_follow_us", models) + figures.predict(core, models)
    call_us = messages * figures.series["wire_us"].fit.predict(0)
    return Row(
        what=f"{rate:.2f} configuration changes a second, {models} models",
        mechanism="operators/follower, policy/configuration, peers/configuration",
        messages=2 * messages,
        sent=messages * body,
        received=messages * body,
        core_share=(rate * edit_us + call_us) / US_PER_S,
        memory_mb=figures.predict("follower_memory", models) / KB_PER_MB,
    )


def _make_host_list(figures: Figures) -> Row:
    entries = TARGET.nodes_per_cell + TARGET.runners_per_cell
    return Row(
        what=f"host list of {entries} entries, each {DEFAULT_HOST_LIST_PERIOD_S:g} s",
        mechanism="host_list/http, host_list/parser (parsed when it changed)",
        messages=1.0 / DEFAULT_HOST_LIST_PERIOD_S,
        received=figures.predict("listing_bytes", entries) / DEFAULT_HOST_LIST_PERIOD_S,
        memory_mb=figures.predict("listing_bytes", entries) / KB_PER_MB / KB_PER_MB,
    )


def _make_gateway_demand(figures: Figures) -> Row:
    return Row(
        what="demand told to the controller each second",
        mechanism="peers/demand",
        messages=1.0,
        sent=figures.predict("demand_bytes", DEMAND_MODELS),
        core_share=(
            figures.predict("demand_us", DEMAND_MODELS) / 2
            + figures.predict("wire_us", 0) / 2
        )
        / US_PER_S,
    )


def _make_data_path(figures: Figures) -> Role:
    requests, tokens = TARGET.requests_per_node, TARGET.tokens_per_node
    streams = requests * TOKENS_PER_REQUEST * TOKEN_INTERVAL_S
    decision_us = figures.predict("decision_upstreams", TARGET.runners_per_cell)
    few_us = figures.predict("decision_upstreams", 10)
    chunk_us = figures.predict("chunk_us", CHUNKED_STREAMS)
    request_us = figures.find_slope("request_us")
    return Role(
        name="Gateway, data path",
        is_control=False,
        rows=(
            Row(
                what=f"{requests:.0f} requests a second, without their decisions",
                mechanism="callers, daemons/dispatcher, daemons/attempts",
                messages=requests,
                core_share=requests * (request_us - few_us) / US_PER_S,
            ),
            Row(
                what=f"decisions among {TARGET.runners_per_cell} upstreams",
                mechanism="policy/dispatch/scheduler, policy/dispatch/choice",
                core_share=requests * decision_us / US_PER_S,
            ),
            Row(
                what=f"{tokens:.0f} streamed tokens a second, a chunk each",
                mechanism="upstreams/exchange, engines/stream, callers/answer",
                messages=tokens,
                core_share=tokens * chunk_us / US_PER_S,
            ),
            Row(
                what=f"{streams:.0f} streams at once",
                mechanism="daemons/records, upstreams/session",
                memory_mb=streams * figures.find_slope("stream_memory") / KB_PER_MB,
            ),
            Row(
                what=f"{QUEUE_MAX_TOTAL} requests that wait, the bound",
                mechanism="policy/dispatch/queues",
                memory_mb=QUEUE_MAX_TOTAL
                * figures.find_slope("queue_memory")
                / KB_PER_MB,
            ),
        ),
        remedies=(
            "One process has one core. Two gateway processes a node, or chunks of two"
            " or more tokens where engines send them together, would carry the peak.",
        ),
    )


def _make_active(figures: Figures, member_rows: tuple[Row, ...]) -> Role:
    nodes, runners = TARGET.nodes_per_cell, TARGET.runners_per_cell
    polls = min(MAX_POLLS_PER_SECOND, runners / POLL_PERIOD_S)
    demand_us = figures.predict("demand_us", DEMAND_MODELS) / 2
    demand_us += figures.series["wire_us"].fit.predict(0) / 2
    return Role(
        name="Controller, active",
        rows=(
            *member_rows,
            _make_polls(figures, polls, "poll_controller_us"),
            Row(
                what=f"demand of {nodes} gateways",
                mechanism="peers/demand",
                messages=float(nodes),
                received=nodes * figures.predict("demand_bytes", DEMAND_MODELS),
                core_share=nodes * demand_us / US_PER_S,
            ),
            Row(
                what=f"plans for {runners} runners and {TARGET.models} models",
                mechanism="policy/placement/planner, policy/placement/gains",
                core_share=figures.plan.core_share,
                memory_mb=figures.predict("ledger_memory", runners) / KB_PER_MB,
            ),
            _make_configuration_row(figures, "edit_placement_us"),
            _make_host_list(figures),
            Row(
                what="the process at rest",
                mechanism="daemons/controller",
                core_share=0.0,
                memory_mb=figures.rest.controller_mb,
            ),
        ),
        remedies=(
            "Plans: demand is looked at once a second for every model; looking only at"
            " models whose demand or copies changed, and at the rest in turn, would"
            " cost what changed.",
            "Reports: the controller reads each runner itself though three gateways do"
            " too; taking them from heartbeats, and reading only runners with orders"
            " under way, would spare most of the polls and their bytes.",
            "Demand: a call and the models' names from each gateway each second; once"
            " in five seconds unless it rises, or added up by a few gateways on the"
            " way, would divide both.",
        ),
    )


def _make_standby(figures: Figures, member_rows: tuple[Row, ...]) -> Role:
    polls = TARGET.runners_per_cell / STANDBY_PERIOD_S
    return Role(
        name="Controller, standby",
        rows=(
            *member_rows,
            _make_polls(figures, polls, "poll_controller_us"),
            _make_configuration_row(figures, "edit_placement_us"),
            _make_host_list(figures),
            Row(
                what="state for a takeover, and the process at rest",
                mechanism="daemons/controller, policy/placement",
                memory_mb=figures.rest.standby_mb
                + figures.predict("ledger_memory", TARGET.runners_per_cell) / KB_PER_MB,
            ),
        ),
        remedies=("As for the active controller: reports from heartbeats.",),
    )


def _make_relay(figures: Figures) -> Role:
    reads = figures.predict("edit_reads", TARGET.nodes_per_cell) / 2
    rate = TARGET.changes_per_second
    body = figures.predict("edit_bytes", TARGET.models)
    return Role(
        name="Configuration relay, beside what its process does anyway",
        rows=(
            Row(
                what="watch of the head, its questions for progress, and slow reads",
                mechanism="peers/configuration, key_value/etcd_watch",
                messages=1.0,
            ),
            Row(
                what=f"{reads:.1f} reads for each change",
                mechanism="operators/repository, operators/follower",
                messages=rate * reads,
                received=rate * reads * body,
            ),
        ),
        remedies=("The processor time of the service's calls was not measured.",),
    )


def _make_home(figures: Figures) -> Role:
    keyed = TARGET.requests_per_node * KEYED_SHARE
    records = keyed * KEY_KEPT_S
    each_kb = figures.find_slope("key_memory")
    return Role(
        name="Home of keyed calls, beside what its process does anyway",
        rows=(
            Row(
                what=f"{records:.0f} records, if {KEYED_SHARE:.0%} of the requests are"
                " keyed; kept answers come on top",
                mechanism="policy/dispatch/keys",
                messages=keyed,
                memory_mb=records * each_kb / KB_PER_MB,
            ),
        ),
        remedies=(
            f"The bound of 100,000 records takes {100_000 * each_kb / KB_PER_MB:.0f} MB"
            " without the answers; a site that needs the 32 MB kept sets `key_capacity`"
            f" to {int(24 * KB_PER_MB / each_kb / 1000) * 1000} or less.",
        ),
    )
