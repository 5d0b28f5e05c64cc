"""A stand-in of a worker: `worker.py ADDRESS NAME [--events N] [--every MS] [--unframed] [--fail SHARE] [--work MS]`.

It speaks what PROTOCOL.md says of workers. With `--events` it answers with a stream of so many events; `--unframed` gives
answers without a length, which end with their channel. `--fail` is the share of its requests that it answers with 500.
"""

import argparse
import asyncio
import random

from lab import read_body, read_head

parser = argparse.ArgumentParser()
parser.add_argument("address")
parser.add_argument("name")
parser.add_argument("--events", type=int, default=0)
parser.add_argument("--every", type=float, default=100)
parser.add_argument("--unframed", action="store_true")
parser.add_argument("--fail", type=float, default=0)
parser.add_argument("--work", type=float, default=15)
options = parser.parse_args()


def say(text):
    print(text, flush=True)


async def answer(reader, writer, headers):
    attempt = headers.get("bulrushhall-attempt-id")
    common = f"Bulrushhall-Attempt-Id: {attempt}\r\n"
    if attempt is None or headers.get("bulrushhall-expect-instance", options.name) != options.name:
        status = "400 x" if attempt is None else "421 x"
        writer.write(f"HTTP/1.1 {status}\r\nBulrushhall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
        return True
    say(f"runs {attempt}")
    common += "Bulrushhall-Response-Seal: 3e1b.07\r\n"
    if options.events == 0:
        await asyncio.sleep(options.work / 1000)
        failed = random.random() < options.fail
        status = "500 x" if failed else "200 OK"
        body = f"done by {options.name} for {attempt}\n".encode() * 20
        writer.write(f"HTTP/1.1 {status}\r\n{common}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        say(f"ends {attempt} {status[:3]}")
        return True
    framing = "Connection: close\r\n" if options.unframed else "Transfer-Encoding: chunked\r\n"
    writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n{framing}\r\n".encode())
    first = int(headers.get("last-event-id", 0)) + 1
    for number in range(first, options.events + 1):
        await asyncio.sleep(options.every / 1000)
        event = f"id: {number}\ndata: piece {number} of {options.events}\n\n".encode()
        writer.write(event if options.unframed else b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        say(f"made {attempt} {number}")
    if not options.unframed:
        writer.write(b"0\r\n\r\n")
    say(f"ends {attempt} 200")
    return not options.unframed


async def serve(reader, writer):
    try:
        while True:
            _, headers = await read_head(reader)
            await read_body(reader, headers)
            keep = await answer(reader, writer, headers)
            await writer.drain()
            if not keep:
                break
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    ip, port = options.address.split(":")
    server = await asyncio.start_server(serve, ip, int(port), backlog=512)
    say("serves")
    async with server:
        await server.serve_forever()


asyncio.run(main())
