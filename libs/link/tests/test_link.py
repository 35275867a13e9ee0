"""Messages that break off are never received."""

import asyncio

import pytest
import uvloop
from shallotstand.core.codes import ResultCode
from shallotstand.link.codec import MAX_MESSAGE_BYTES, encode
from shallotstand.link.link import Link
from shallotstand.link.messages import Frame, Frames, Hello
from shallotstand.standins.early_http import Ending
from shallotstand.standins.held_http import HeldEnding, HeldServer
from shallotstand.standins.scripted_http import reset_connection

HELLO = Hello("entry-1", "entry", "peak-a", "i" * 24, 7)
FRAMES = Frames((Frame(1, data=b"whole" * 8),))
_LENGTH_BYTES = 4
_PACKED_FLAG = 1 << 31


def framed(message):
    encoded = encode(message)
    header = len(encoded.body) | (_PACKED_FLAG if encoded.packed else 0)
    return header.to_bytes(_LENGTH_BYTES, "little") + encoded.body


LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


def receive(data, ending, loop="asyncio"):
    """Returns the messages that a link receives, and the link."""

    async def serve(reader, writer):
        try:
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.001)
            if ending is Ending.RESET:
                reset_connection(writer)
        finally:
            writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        link = await Link.connect(host, port)
        messages = [message async for message in link.messages()]
        await link.close()
        server.close()
        return messages, link

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        return runner.run(asyncio.wait_for(scenario(), 10))


def receive_held_up(data, ending, loop):
    """Does the same on a link whose end arrives with its last bytes."""

    async def scenario():
        link = None
        # The server sends nothing before it has read the end of a head.
        async with HeldServer(framed(HELLO), data, ending) as server:
            host, _, port = server.address.rpartition(":")
            link = await Link.connect(host, int(port))
            link._writer.write(b"\r\n\r\n")
            messages = [message async for message in link.messages()]
            await link.close()
        return messages, link

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        return runner.run(asyncio.wait_for(scenario(), 10))


@pytest.mark.parametrize("loop", LOOPS)
@pytest.mark.parametrize("is_whole", [True, False])
def test_reset_beside_the_last_bytes_is_told_from_an_end(is_whole, loop):
    # Guards against a link whose reset is logged as an orderly end, and against
    # a message that counts although its link was reset within it.
    whole = framed(FRAMES)
    data = whole if is_whole else whole[:-1]
    messages, link = receive_held_up(data, HeldEnding.RESET, loop)
    assert messages in ([HELLO, FRAMES][: 1 + is_whole], [HELLO])
    assert link.failure.code == ResultCode.LINK_LOST
    messages, link = receive_held_up(data, HeldEnding.CLOSE, loop)
    assert messages == [HELLO, FRAMES][: 1 + is_whole]
    assert (link.failure is None) == is_whole


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize("message", [HELLO, FRAMES])
def test_message_that_breaks_off_is_not_received(message, ending):
    # Guards against an answer of a peer that counts although it broke off.
    whole = framed(message)
    for length in range(len(whole)):
        messages, _ = receive(framed(HELLO) + whole[:length], ending)
        assert messages == [HELLO], length
    messages, _ = receive(framed(HELLO) + whole, ending)
    assert messages == [HELLO, message]


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (
            (MAX_MESSAGE_BYTES + 1).to_bytes(_LENGTH_BYTES, "little"),
            ResultCode.FRAME_TOO_LARGE,
        ),
        (
            (8).to_bytes(_LENGTH_BYTES, "little") + b"HTTP/1.1",
            ResultCode.BAD_FRAME,
        ),
    ],
)
def test_bytes_that_are_no_message_end_the_link(data, code):
    messages, link = receive(
        framed(HELLO) + data + framed(FRAMES), Ending.CLOSE
    )
    assert messages == [HELLO]
    assert link.failure.code == code
