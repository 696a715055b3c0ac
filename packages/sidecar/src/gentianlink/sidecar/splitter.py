"""Traffic splitting: divide the calls of a rule among its services by weight."""


class Splitter:
    """Chooses the service of each call by smooth weighted round robin.

    Each call adds credit to every service in proportion to its weight; the service with
    the most credit receives the call and pays one unit of credit. Unlike a random
    choice, this matches the weights over short runs of calls as well.
    """

    def __init__(self):
        self._credits = {}

    def choose(self, rule):
        """Return the service of the next call of a rule.

        Parameters
        ----------
        rule : Rule
            Rule of the call.

        Returns
        -------
        str
            Name of the service.
        """
        if len(rule.split) == 1:
            return rule.split[0].service
        split_credits = self._credits.get(rule.name)
        if split_credits is None or split_credits[0] != rule.split:
            split_credits = rule.split, [0.0] * len(rule.split)
            self._credits[rule.name] = split_credits
        credits = split_credits[1]
        total = sum(part.weight for part in rule.split)
        for index, part in enumerate(rule.split):
            credits[index] += part.weight / total
        best = max(range(len(credits)), key=credits.__getitem__)
        credits[best] -= 1.0
        return rule.split[best].service
