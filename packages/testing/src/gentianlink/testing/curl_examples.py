"""Extract the curl commands of a page and the results that it documents."""

import re
import shlex
import urllib.parse

import attrs

_SHELL_BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.DOTALL | re.MULTILINE)


@attrs.frozen
class CurlExample:
    """A curl command of a page with its documented result.

    Attributes
    ----------
    method : str
        HTTP method.
    url : str
        URL with the port that the page shows.
    headers : dict of str to str
        Request headers.
    body : str or None
        Request body; None if there is none.
    expected : str
        Status and outcome, followed by the reason or by ``replay``.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: str | None
    expected: str

    def get_url(self, ports):
        """Return the URL with host and port replaced.

        Parameters
        ----------
        ports : dict of int to str
            Host and port to use, by the port that the page shows.
        """
        parts = urllib.parse.urlsplit(self.url)
        return parts._replace(netloc=ports[parts.port]).geturl()


def parse_curl_examples(page):
    """Return the curl commands of a page in order.

    Parameters
    ----------
    page : str
        Markdown text.

    Returns
    -------
    list of CurlExample
        The commands of all ``sh`` code blocks.

    Raises
    ------
    ValueError
        If a command is not curl, has an unsupported option or no expected result.
    """
    examples = []
    for block in _SHELL_BLOCK.findall(page):
        *commands, rest = re.split(r"^# -> (.*)\n", block, flags=re.MULTILINE)
        if rest.strip():
            raise ValueError(f"no expected result: {rest}")
        for command, expected in zip(commands[::2], commands[1::2], strict=True):
            examples.append(_parse_command(command, expected))
    return examples


def _parse_command(command, expected):
    program, *arguments = shlex.split(command.replace("\\\n", " "))
    if program != "curl":
        raise ValueError(f"not curl: {command}")
    method, url, headers, body = None, None, {}, None
    arguments = iter(arguments)
    for argument in arguments:
        if argument == "-X":
            method = next(arguments)
        elif argument == "-H":
            name, _, value = next(arguments).partition(":")
            headers[name] = value.strip()
        elif argument == "-d":
            body = next(arguments)
        elif argument.startswith("http://"):
            url = argument
        elif argument != "-i":
            raise ValueError(f"unknown option: {argument}")
    method = method or ("GET" if body is None else "POST")
    return CurlExample(method, url, headers, body, expected)
