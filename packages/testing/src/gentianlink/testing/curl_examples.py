"""Read the curl commands of a page, and what the page says comes back."""

import re
import shlex
import urllib.parse

import attrs

_BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.DOTALL | re.MULTILINE)


@attrs.frozen
class CurlExample:
    """One command of a page.

    Attributes
    ----------
    method : str
        HTTP method.
    url : str
        Address.
    headers : dict of str to str
        Headers.
    body : str or None
        Body.
    expected : str
        Status, outcome, and reason or ``replay``.
    """

    method: str
    url: str
    headers: dict[str, str]
    body: str | None
    expected: str

    def get_url(self, ports):
        """Return the address with other ports.

        Parameters
        ----------
        ports : dict of int to str
            Host and port by the port on the page.
        """
        parts = urllib.parse.urlsplit(self.url)
        return parts._replace(netloc=ports[parts.port]).geturl()


def parse_curl_examples(page):
    """Return the commands of a page in order.

    Parameters
    ----------
    page : str
        Text in Markdown.

    Returns
    -------
    list of CurlExample
        Every command of its ``sh`` blocks.

    Raises
    ------
    ValueError
        If a command has an unknown option or no expected result.
    """
    examples = []
    for block in _BLOCK.findall(page):
        *commands, rest = re.split(r"^# -> (.*)\n", block, flags=re.MULTILINE)
        if rest.strip():
            raise ValueError(f"no expected result: {rest}")
        for command, expected in zip(commands[::2], commands[1::2], strict=True):
            examples.append(_parse_command(command, expected))
    return examples


def _parse_command(command, expected):
    program, *words = shlex.split(command.replace("\\\n", " "))
    if program != "curl":
        raise ValueError(f"not curl: {command}")
    method, url, headers, body = None, None, {}, None
    words = iter(words)
    for word in words:
        if word == "-X":
            method = next(words)
        elif word == "-H":
            name, _, value = next(words).partition(":")
            headers[name] = value.strip()
        elif word == "-d":
            body = next(words)
        elif word.startswith("http://"):
            url = word
        elif word != "-i":
            raise ValueError(f"unknown option: {word}")
    method = method or ("GET" if body is None else "POST")
    return CurlExample(method, url, headers, body, expected)
