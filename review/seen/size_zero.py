"""No case: a config whose model has `size` 0 is acknowledged, and ends each control VM that leads.

The pages' list of invalid configs does not name it, and no disruption sends one. Exits with 1 if control VMs ended."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import mill  # noqa: E402


async def play(it, record):
    for i in range(10):
        await mill.Engine(it, 1 + i, i // 5).start()
    await it.leader()
    for version, size in ((3, 3), (4, 0 if mill.TROUBLE else 3)):
        config = json.loads(json.dumps(mill.config(version)))
        config["services"][0]["inference_engine"]["models"][0]["size"] = size
        _, status, _ = await mill.control_call(it.controls, "PUT", "/api/config", json.dumps(config).encode())
        record.write(f"config {version} with size {size}: {status}")
        await it.ready()
        await asyncio.sleep(3)
    ends = 0
    for _ in range(60):
        for node in it.controls:
            if not node.running():
                ends += 1
                record.write(f"{node.name} ended with {node.process.returncode}; the platform starts it again")
                node.start()
        await asyncio.sleep(0.3)
    print(f"control VMs ended {ends} times")
    return ends > 0


mill.main(play, pathlib.Path(__file__).resolve().parent, entries=1)
