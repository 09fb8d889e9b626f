# How long a keeper keeps an attempt after its end, in days; 0 is for ever. It is
# called with the job's class, the team, whether the attempt completed, whether it was
# never sealed, and how many megabytes it put out.
def keep_days(cls, team, completed, partial, mb):
    if partial:
        return 7  # somebody asks within the week why it was cut off, or never
    if mb > 1000:
        return 14
    return 30
