#!/usr/bin/env python3
"""Python libraries that nobody here wrote, round the node and at the stand-in etcd. Not part of CI.

Needs, each skipped by name where it is missing:
    pip install thriftpy2              callers and tally boxes
    pip install etcd3 grpcio protobuf  a client of the stand-in etcd, and a gRPC server that the node watches
and the programs: cargo build --release && cargo build --release -p rig
Run it from the repository: python3 tests/interop/peers.py
"""
import json
import os
import queue
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

os.environ.setdefault("PROTOCOL_BUFFERS_PYTHON_IMPLEMENTATION", "python")  # etcd3's generated code is old
ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
SILLWARD = os.path.join(ROOT, "target", "release", "sillward")
RIG = os.path.join(ROOT, "target", "release", "rig")
PATIENCE = 20

IDL = """
struct Origin { 1: string station, 2: string key, 3: string caller, 4: i64 budget_ms }
exception Closed { 1: string why }
service Tally {
  string read(1: Origin origin),
  string submit(1: Origin origin, 2: binary sheet) throws (1: Closed closed),
  string correct(1: Origin origin, 2: binary sheet) throws (1: Closed closed),
  void touch(1: Origin origin),
  oneway void note(1: Origin origin, 2: binary sheet),
}
"""

passed, failed, skipped = [], [], []


def cell(name, check):
    try:
        check()
        passed.append(name)
    except Exception as e:  # the library's own errors are the findings
        failed.append(name)
        print(f"FAILED {name}: {type(e).__name__}: {e}")


def same(got, expected):
    if got != expected:
        raise AssertionError(f"{got!r}, not {expected!r}")


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def until(holds, what):
    end = time.monotonic() + PATIENCE
    while not holds():
        if time.monotonic() > end:
            raise AssertionError(f"waited in vain for {what}")
        time.sleep(0.02)


class Program:
    """A program of this repository, up once it has printed `ready`; what follows that is `said`."""

    def __init__(self, arguments, ready, env=None):
        self.child = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                                      env={**os.environ, **(env or {})})
        lines = queue.Queue()
        threading.Thread(target=lambda: [lines.put(l) for l in self.child.stdout], daemon=True).start()
        while True:
            line = lines.get(timeout=PATIENCE)
            if ready in line:
                self.said = line.split(ready, 1)[1].strip()
                return

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.child.kill()
        self.child.wait()


def node(operator, endpoints, ready):
    folder = tempfile.mkdtemp(prefix="sillward-interop-")
    kinds = {"read": "free", "submit": "guarded", "correct": "single_shot"}
    classes = [{"Name": n, "Target": 1500, "GiveUp": 1500, "Idempotency": i, "Group": "zone", "Window": 60000}
               for n, i in kinds.items()]
    settings = {"Classes": classes, "Localities": ["a"], "HostTypes": ["t"],
                "Permissions": {"AttemptsCap": 3, "Cancel": True}}
    config = {"name": "n0", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{free_port()}", "seed": "1f",
              "known": {"index": 1, "snapshot": True, "endpoints": endpoints}, "settings": settings}
    paths = [os.path.join(folder, name) for name in ("config.json", "operator.toml")]
    for path, text in zip(paths, (json.dumps(config), operator)):
        with open(path, "w") as file:
            file.write(text)
    return Program([SILLWARD, "--operator", paths[1]], ready, {"PROXY_CONFIG": paths[0]})


def endpoint(name, port):
    return {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "type": "t", "group": 1,
            "status": "in_service", "weight": 1.0, "since_ms": 0}


def thrift_cells():
    try:
        import thriftpy2
        from thriftpy2.protocol import TBinaryProtocolFactory, TCompactProtocolFactory, TMultiplexedProtocolFactory
        from thriftpy2.rpc import make_client
        from thriftpy2.server import TThreadedServer
        from thriftpy2.thrift import TApplicationException, TMultiplexedProcessor, TProcessor
        from thriftpy2.transport import TFramedTransportFactory, TServerSocket
    except ImportError as e:
        skipped.append("thriftpy2")
        print(f"skipped thriftpy2: {e}")
        return
    with tempfile.NamedTemporaryFile("w", suffix=".thrift", delete=False) as file:
        file.write(IDL)
    tally = thriftpy2.load(file.name, module_name="tally_thrift")
    protocols = {"binary": TBinaryProtocolFactory, "compact": TCompactProtocolFactory}

    class Handler:
        def __init__(self):
            self.runs, self.lock = {}, threading.Lock()

        def ran(self, sheet):
            with self.lock:
                self.runs[sheet] = self.runs.get(sheet, 0) + 1

        def read(self, origin):
            return origin.station

        def submit(self, origin, sheet):
            return self.correct(origin, sheet)

        def correct(self, origin, sheet):
            if origin.station == "closed":
                raise tally.Closed(why="the station is closed")
            self.ran(sheet)
            time.sleep(0.003)
            return f"counted {len(sheet)}"

        def touch(self, origin):
            pass

        def note(self, origin, sheet):
            self.ran(sheet)

    for encoding in protocols:
        for multiplexed in (False, True):
            handler = Handler()
            processor = TProcessor(tally.Tally, handler)
            if multiplexed:
                processor, inner = TMultiplexedProcessor(), processor
                processor.register_processor("Tally", inner)
            port = free_port()
            server = TThreadedServer(processor, TServerSocket("127.0.0.1", port, client_timeout=None),
                                     iprot_factory=protocols[encoding](), itrans_factory=TFramedTransportFactory())
            server.daemon = True
            threading.Thread(target=server.serve, daemon=True).start()
            service = 'service = "Tally"\n' if multiplexed else ""
            methods = "".join(
                f'[[thrift.method]]\n{service}name = "{name}"\nclass = "{kind}"\nstation_key = "1.1"\n{key}'
                f'budget_ms = "1.4"\n'
                for name, kind, key in (("read", "read", ""), ("submit", "submit", 'idempotency_key = "1.2"\n'),
                                        ("correct", "correct", ""), ("touch", "read", ""), ("note", "correct", "")))
            operator = (f'[thrift]\nlisten = "127.0.0.1:0"\n{methods}'
                        f'[[thrift.backend]]\ntype = "t"\nencoding = "{encoding}"\n')
            until(lambda: socket.socket().connect_ex(("127.0.0.1", port)) == 0, "the box")
            with node(operator, [endpoint("box", port)], "listens for Thrift on ") as running:
                at = int(running.said.rsplit(":", 1)[1])
                for caller in protocols:
                    def client():
                        factory = protocols[caller]()
                        if multiplexed:
                            factory = TMultiplexedProtocolFactory(factory, "Tally")
                        return make_client(tally.Tally, "127.0.0.1", at, proto_factory=factory,
                                           trans_factory=TFramedTransportFactory(), timeout=PATIENCE * 1000)

                    def origin(station="1f", key="k"):
                        return tally.Origin(station=station, key=key, caller="x", budget_ms=1500)

                    names = "multiplexed" if multiplexed else "plain"
                    here = f"thriftpy2 {caller} to {encoding}, {names}"
                    c = client()
                    cell(f"result: {here}", lambda: same(c.read(origin("7b")), "7b"))
                    cell(f"void: {here}", lambda: same(c.touch(origin()), None))

                    def declared():
                        try:
                            c.correct(origin("closed"), b"s")
                        except tally.Closed as closed:
                            return same(closed.why, "the station is closed")
                        raise AssertionError("no exception")

                    cell(f"declared exception: {here}", declared)

                    def oneway():
                        sheet = f"note {here}".encode()
                        c.note(origin(), sheet)
                        until(lambda: handler.runs.get(sheet) == 1, "a oneway call at the box")
                        same(c.read(origin("8")), "8")

                    cell(f"oneway: {here}", oneway)

                    def load():
                        ends, lock = {}, threading.Lock()

                        def work(number):
                            mine = client()
                            for i in range(60):
                                sheet = f"{here} {number} {i}".encode()
                                try:
                                    method = (mine.correct, mine.submit)[i % 2]
                                    end = method(origin(key=sheet.decode().replace(" ", "-")), sheet)
                                    end = "served" if end == f"counted {len(sheet)}" else "foreign"
                                except TApplicationException as e:
                                    end = f"exception {e.type}"
                                with lock:
                                    ends[end] = ends.get(end, 0) + 1

                        workers = [threading.Thread(target=work, args=(n,)) for n in range(12)]
                        [w.start() for w in workers]
                        [w.join() for w in workers]
                        same(ends, {"served": 720})
                        same(max(handler.runs.values()), 1)

                    cell(f"720 calls of 12 callers, none refused, none twice: {here}", load)


def etcd_cells():
    try:
        import etcd3
        import grpc
        from concurrent.futures import ThreadPoolExecutor
        from etcd3 import etcdrpc
        from etcd3.etcdrpc import kv_pb2
    except Exception as e:  # old generated code raises a TypeError of its own
        skipped.append("etcd3")
        print(f"skipped etcd3: {str(e).splitlines()[0]}")
        return
    with Program([RIG, "serve", "etcd", "--listen", "127.0.0.1:0"], "listens on ") as running:
        client = etcd3.client(host="127.0.0.1", port=int(running.said.rsplit(":", 1)[1]), timeout=PATIENCE)

        def put_and_get():
            client.put("/tally/a", "one")
            client.put("/tally/b", "two")
            same(client.get("/tally/a")[0], b"one")
            same([v for v, _ in client.get_prefix("/tally/")], [b"one", b"two"])

        def watch():
            events, cancel = client.watch_prefix("/tally/")
            client.put("/tally/c", "three")
            client.delete("/tally/a")
            first, second = next(events), next(events)
            same((type(first).__name__, first.key, first.value), ("PutEvent", b"/tally/c", b"three"))
            same((type(second).__name__, second.key), ("DeleteEvent", b"/tally/a"))
            cancel()

        def lease():
            granted = client.lease(1)
            client.put("/tally/leased", "x", lease=granted)
            same(client.get("/tally/leased")[0], b"x")
            until(lambda: client.get("/tally/leased")[0] is None, "the lease's end")

        def compacted():
            client.put("/tally/b", "again")
            _, meta = client.get("/tally/b")
            client.compact(meta.mod_revision)
            events, _ = client.watch("/tally/b", start_revision=1)
            try:
                next(events)
            except etcd3.exceptions.RevisionCompactedError as e:
                return same(e.compacted_revision, meta.mod_revision)
            raise AssertionError("a watch from a compacted revision went on")

        cell("etcd3 at the stand-in: put, get, prefix", put_and_get)
        cell("etcd3 at the stand-in: watch of a prefix, delete", watch)
        cell("etcd3 at the stand-in: a lease that runs out", lease)
        cell("etcd3 at the stand-in: a compacted revision", compacted)

    # The other side: the node's watch at a gRPC server of another library.
    value = json.dumps(endpoint("box-7", 9)).encode()
    told = queue.Queue()

    class Kv(etcdrpc.KVServicer):
        def Range(self, request, context):
            same((request.key, request.range_end), (b"/tally/", b"/tally0"))
            pair = kv_pb2.KeyValue(key=b"/tally/box-7", value=value, create_revision=5, mod_revision=5, version=1)
            header = etcdrpc.ResponseHeader(cluster_id=3, member_id=1, revision=5, raft_term=1)
            return etcdrpc.RangeResponse(header=header, kvs=[pair], count=1)

    class Watch(etcdrpc.WatchServicer):
        def Watch(self, requests, context):
            revision, request = 5, next(requests)
            head = lambda: etcdrpc.ResponseHeader(cluster_id=3, member_id=1, revision=revision, raft_term=1)
            same(request.create_request.start_revision, 6)
            yield etcdrpc.WatchResponse(header=head(), created=True)
            while True:
                event = told.get()
                revision += 1
                event.kv.mod_revision = revision
                yield etcdrpc.WatchResponse(header=head(), events=[event])

    server = grpc.server(ThreadPoolExecutor(8))
    etcdrpc.add_KVServicer_to_server(Kv(), server)
    etcdrpc.add_WatchServicer_to_server(Watch(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    operator = (f'[etcd]\nendpoints = ["127.0.0.1:{port}"]\nprefix = "/tally/"\n'
                f'[admin]\nlisten = "127.0.0.1:0"\n')
    with node(operator, [], "listens for operators on ") as running:
        def state():
            url = f"http://{running.said}/admin/membership"
            page = json.load(urllib.request.urlopen(url, timeout=PATIENCE))
            return [backend["state"] for backend in page["backends"]]

        def listed():
            until(lambda: state() == ["in_service"], "the list")

        def drained():
            draining = value.replace(b"in_service", b"terminating")
            kv = kv_pb2.KeyValue(key=b"/tally/box-7", value=draining, create_revision=5)
            told.put(kv_pb2.Event(type=kv_pb2.Event.PUT, kv=kv))
            until(lambda: state() == ["terminating"], "the drain")

        def deleted():
            told.put(kv_pb2.Event(type=kv_pb2.Event.DELETE, kv=kv_pb2.KeyValue(key=b"/tally/box-7")))
            until(lambda: state() in ([], ["terminated"]), "the end")

        cell("the node at grpcio's server: the list", listed)
        cell("the node at grpcio's server: a drain", drained)
        cell("the node at grpcio's server: a deletion", deleted)
    server.stop(None)


if __name__ == "__main__":
    for program in (SILLWARD, RIG):
        if not os.path.exists(program):
            sys.exit(f"{os.path.relpath(program)} is not built: see the head of this file")
    thrift_cells()
    etcd_cells()
    for name in passed:
        print(f"ok {name}")
    print(f"{len(passed)} passed, {len(failed)} failed, {len(skipped)} skipped")
    sys.exit(bool(failed))
