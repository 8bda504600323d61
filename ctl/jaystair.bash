# Completion of jaystair(1) for bash.  Names of targets and services are read
# from the host that JAYSTAIR_HOST names, and omitted if it doesn't respond.

_jaystair_names ()
{
  jaystair --json show "$1" 2>/dev/null \
    | grep -o "\"$2\":\"[^\"]*\"" | cut -d '"' -f 4 | sort -u
}

_jaystair_words ()
{
  case "$1" in
    show) echo "services targets hosts routes settings decisions counters \
      ejections" ;;
    explain) echo "target request" ;;
    pause | resume) echo "ejection" ;;
    set) echo "floor" ;;
    drain | undrain | eject | reinstate | target)
      _jaystair_names targets target ;;
    addresses | ejection | floor) _jaystair_names services service ;;
    services | targets | hosts | routes | settings | decisions | counters \
      | ejections) echo "where" ;;
    at) echo "version" ;;
    *) echo "" ;;
  esac
}

_jaystair ()
{
  local current=${COMP_WORDS[COMP_CWORD]}
  local previous=${COMP_WORDS[COMP_CWORD - 1]}
  local words="show explain addresses drain undrain eject reinstate pause \
    resume set"
  COMPREPLY=()
  case "$current" in
    -*)
      COMPREPLY=($(compgen -W "--host --secret-file --json --watch --help \
        --version" -- "$current"))
      return
      ;;
  esac
  case "$previous" in
    --secret-file)
      COMPREPLY=($(compgen -f -- "$current"))
      return
      ;;
    --host) return ;;
    jaystair | --json | --watch) ;;
    *)
      case "${COMP_WORDS[COMP_CWORD - 2]}" in
        --host | --secret-file) ;;
        *) words=$(_jaystair_words "$previous") ;;
      esac
      ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}

complete -F _jaystair jaystair
