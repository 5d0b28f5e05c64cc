"""A worker as a process of its own, which its supervisor may kill. Its listening socket is the supervisor's.

Arguments: the id of its lifetime, and the descriptor of the socket. It answers each request with a head without a length,
writes the body in two parts, and ends the answer with its channel. A body that begins with `events` asks for events.
"""
import asyncio, os, socket, sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from kit import answer, read_message

NAME = sys.argv[1] if __name__ == "__main__" else ""
PAUSE = 0.4


def parts(attempt, body):
    if body.startswith(b"events"):
        events = [b"id: %d\ndata: piece %d of 8 for %s\n\n" % (i, i, attempt.encode()) for i in range(1, 9)]
        return b"".join(events[:4]), b"".join(events[4:])
    return b"accepted %s;" % attempt.encode() + b"." * 400, b"." * 400 + b";done %s" % attempt.encode()


async def serve(reader, writer):
    try:
        while True:
            message = await read_message(reader)
            if message is None:
                break
            line, headers, body = message
            if headers.get("bulrushhall-expect-instance", NAME) != NAME:
                writer.write(answer(421, headers=[("Bulrushhall-Instance-Id", NAME)]))
                await writer.drain()
                continue
            attempt = headers.get("bulrushhall-attempt-id")
            if attempt is None:
                writer.write(answer(400, headers=[("Bulrushhall-Not-Executed", "1")]))
                await writer.drain()
                continue
            print("runs", attempt, line, flush=True)
            first, rest = parts(attempt, body)
            kind = "text/event-stream" if body.startswith(b"events") else "text/plain"
            head = ("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nConnection: close\r\nBulrushhall-Attempt-Id: %s\r\n"
                    "Bulrushhall-Response-Seal: s.%s\r\n\r\n" % (kind, attempt, NAME))
            writer.write(head.encode() + first)
            await writer.drain()
            await asyncio.sleep(PAUSE)
            writer.write(rest)
            await writer.drain()
            print("ended", attempt, flush=True)
            break
    except ConnectionError:
        pass
    finally:
        writer.close()


async def main():
    sock = socket.socket(fileno=int(sys.argv[2]))
    server = await asyncio.start_server(serve, sock=sock)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
