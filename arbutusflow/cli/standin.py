"""Commands that run the stand-in servers used by tests and the demo."""

import typer

app = typer.Typer(no_args_is_help=True, help="Stand-in servers for tests and the demo.")


@app.command("platform")
def platform(host: str = "127.0.0.1", port: int = 8000) -> None:
    """Run a stand-in for the platform."""
    from arbutusflow.standins.platform_server import run_platform

    run_platform(host, port)


@app.command("endpoint")
def endpoint(
    name: str,
    host: str = "127.0.0.1",
    port: int = 9000,
    slots: int = 2,
    service_ms: float = 5.0,
    checks_tokens: bool = True,
) -> None:
    """Run a stand-in for one endpoint."""
    from arbutusflow.standins.endpoint_server import run_endpoint

    run_endpoint(name, host, port, slots, service_ms, checks_tokens)
