# Returns how many days an attempt is kept after its end; 0 is for ever. The arguments are the job's class, the
# team, whether the attempt completed, whether it ended without a seal from its agent, and the size of its streams,
# without its files, in megabytes.
def keep_days(cls, team, completed, partial, mb):
    if partial:
        return 7  # a cut-off attempt is investigated within the week or never
    if mb > 1000:
        return 14
    return 30
