"""What every case needs: the exit code, the time limit and the end of all processes."""
import asyncio
import os
import signal
import sys
import traceback

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
# run.sh makes an exit code of 1 of it: a mistake in Python would end with 1 as well.
BROKEN = 10


def main(make, scenario):
    """Runs `scenario(cluster)`. Exits with BROKEN if a rule was broken, 0 if none was, else 2."""
    asyncio.run(_main(make, scenario))


async def _main(make, scenario):
    code = 2
    cluster = None
    try:
        cluster = make()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, lambda: (cluster.stop(), os._exit(2)))
        await asyncio.wait_for(scenario(cluster), LIMIT_S)
        cluster.check_alive()
        broken = cluster.judge.broken
        cluster.judge.log("result:", "broken: " + ", ".join(sorted(set(broken))) if broken else "no rule was broken")
        code = BROKEN if broken else 0
        print("broken: " + ", ".join(sorted(set(broken))) if broken else "held")
    except BaseException:
        traceback.print_exc()
        if cluster:
            cluster.record.write("the case couldn't run\n" + traceback.format_exc())
    finally:
        if cluster:
            cluster.stop()
            cluster.dir.cleanup()
        sys.stdout.flush()
        sys.stderr.flush()
        # The stand-ins' open connections end with the process.
        os._exit(code)
